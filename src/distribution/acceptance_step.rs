use super::*;

/// The next step of an [`Acceptance`].
#[derive(Clone, Debug)]
pub enum AcceptanceStep {
  /// Call the store and pass the answer to [`Acceptance::answered`].
  Call(StoreRequest),
  /// The change has ended.
  Done(Outcome),
  /// Wait, then call [`Acceptance::resume`].
  Wait {
    /// Duration of the pause, in milliseconds.
    pause_ms: u64,
  },
}
