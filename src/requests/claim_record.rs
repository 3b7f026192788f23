use super::*;

/// The store's record of a request with an idempotency key, which must run at most once.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimRecord {
  /// The attempt that holds the claim.
  pub attempt: String,
  /// The digest of the request's method, path and body.
  pub content: Digest,
  /// The request's state.
  #[serde(flatten)]
  pub state: ClaimState,
  /// When the record was last written, in milliseconds of Unix time by the writer's clock.
  pub unix_ms: u64,
}
