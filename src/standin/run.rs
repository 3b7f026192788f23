use super::*;

/// One request that the stand-in backend server ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
  /// Bytes of the request's body.
  pub bytes: u64,
  /// The digest of the request's body.
  pub digest: Digest,
  /// Whether the whole body came.
  pub complete: bool,
  /// The request's key, where it had one.
  pub key: Option<String>,
  /// The method and path.
  pub line: String,
  /// The request's id.
  pub request_id: Option<String>,
  /// When it ended, in milliseconds since 1970.
  pub ended_unix_ms: u64,
  /// When it started, in milliseconds since 1970.
  pub started_unix_ms: u64,
}
