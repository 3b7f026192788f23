/// What a limiter says to a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
  /// It has a slot.
  Admitted,
  /// It waits for a slot.
  Queued {
    /// Milliseconds for which it is worth waiting.
    patience_ms: u64,
  },
  /// It should not wait: no slot would come in time.
  Shed {
    /// Milliseconds after which to come back.
    retry_after_ms: u64,
  },
}
