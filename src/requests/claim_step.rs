use super::*;

/// What a [`Claim`] wants next.
#[derive(Clone, Debug)]
pub enum ClaimStep {
  /// Call the store and hand the answer to [`Claim::answered`].
  Call(StoreRequest),
  /// The claim is settled.
  Settled(ClaimOutcome),
  /// Wait, then go on with [`Claim::resumed`].
  Wait {
    /// For how long.
    pause_ms: u64,
  },
}
