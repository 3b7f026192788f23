use super::*;

/// A request that the fake backend server ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
  /// The size of the request's body, in bytes.
  pub bytes: u64,
  /// The digest of the request's body.
  pub digest: Digest,
  /// Whether the whole body was received.
  pub complete: bool,
  /// The request's idempotency key, if any.
  pub key: Option<String>,
  /// The method and path.
  pub line: String,
  /// The request's id.
  pub request_id: Option<String>,
  /// The time when it ended, in milliseconds since the Unix epoch.
  pub ended_unix_ms: u64,
  /// The time when it started, in milliseconds since the Unix epoch.
  pub started_unix_ms: u64,
}
