/// The limiter's decision about a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimiterDecision {
  /// The request has a slot.
  Admitted,
  /// The request waits for a slot.
  Queued {
    /// Longest useful wait, in milliseconds.
    max_wait_ms: u64,
  },
  /// The request is refused, for no slot would be free in time.
  Shed {
    /// Milliseconds after which to retry.
    retry_after_ms: u64,
  },
}
