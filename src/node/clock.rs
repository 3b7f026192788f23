use super::*;

/// Tells the time. Decisions get it handed in.
pub trait Clock {
  /// Microseconds since the clock started, for measuring.
  fn elapsed_us(&self) -> u64;

  /// The present moment.
  fn now(&self) -> Moment;
}
