use super::*;

/// The clocks of a machine. Each counts from some fixed moment.
pub trait Clocks {
  /// The clock by which the event loop waits. It leaves out the time for which the machine was suspended.
  fn steady(&self) -> Duration;

  /// The clock that counts that time too.
  fn whole(&self) -> Duration;
}
