use super::*;

/// The next step of a [`Claim`].
#[derive(Clone, Debug)]
pub enum ClaimStep {
  /// Call the store and pass the answer to [`Claim::answered`].
  Call(StoreRequest),
  /// The claim is settled.
  Settled(ClaimOutcome),
  /// Wait, then call [`Claim::resumed`].
  Wait {
    /// Milliseconds to wait.
    pause_ms: u64,
  },
}
