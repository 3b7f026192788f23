use super::*;

/// The store's record of a request that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimRecord {
  /// The try that holds the claim.
  pub attempt: String,
  /// The digest of the request's method, path and body.
  pub content: Digest,
  /// How far it is.
  #[serde(flatten)]
  pub state: ClaimState,
  /// When the record was last written, in milliseconds since 1970 by the writer's clock.
  pub unix_ms: u64,
}
