use super::*;

/// The time of an event by the daemon's two clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
  /// The monotonic clock, used for every decision.
  pub time: Time,
  /// The wall clock in milliseconds since 1970, used only for records that people read.
  pub unix_ms: u64,
}
