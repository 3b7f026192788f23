use super::*;

/// The clocks of a machine. Each counts from a fixed moment of its own.
pub trait Clocks {
  /// Returns the time of the clock that the event loop uses. It excludes suspensions of the machine.
  fn monotonic(&self) -> Duration;

  /// Returns the time of the clock that includes suspensions of the machine.
  fn boot_time(&self) -> Duration;
}
