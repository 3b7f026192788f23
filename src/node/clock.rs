use super::*;

/// Source of time. State machines get the time as an argument instead.
pub trait Clock {
  /// Returns the microseconds since the clock started, for measurements.
  fn elapsed_us(&self) -> u64;

  /// Returns the current time.
  fn now(&self) -> Moment;
}
