use super::*;

/// What an [`Acceptance`] wants next.
#[derive(Clone, Debug)]
pub enum AcceptanceStep {
  /// Call the store and hand the answer to [`Acceptance::answered`].
  Call(StoreRequest),
  /// The change ended.
  Done(Outcome),
  /// Wait, then go on with [`Acceptance::resumed`].
  Wait {
    /// For how long.
    pause_ms: u64,
  },
}
