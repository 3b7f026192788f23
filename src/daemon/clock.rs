use super::*;

/// Tells the time. Decisions get it handed in.
pub trait Clock {
  /// The present moment.
  fn now(&self) -> Moment;
}
