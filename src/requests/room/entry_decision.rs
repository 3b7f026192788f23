/// Whether a caller's request is tried at all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryDecision {
  /// It is tried.
  Admit,
  /// It is refused before any try.
  Refuse {
    /// Why.
    reason: &'static str,
    /// Milliseconds after which the caller should retry.
    retry_after_ms: u64,
  },
}
