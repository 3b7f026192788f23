use super::*;

/// When an event happened, by both clocks of the daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
  /// By the monotonic clock: for every decision.
  pub time: Time,
  /// Milliseconds since 1970: for records that people read, and for nothing else.
  pub unix_ms: u64,
}
