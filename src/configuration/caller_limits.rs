use super::*;

/// Limits on the size of callers' requests and on the time that these take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
  /// Largest request body in bytes.
  pub body_bytes_max: u64,
  /// Largest request head in bytes.
  pub head_bytes_max: usize,
  /// Milliseconds within which the whole request head must arrive.
  pub head_timeout_ms: u64,
  /// Milliseconds for which a connection may be idle between two requests.
  pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
  /// The limits if the configuration sets none: large enough for browsers and uploads.
  fn default() -> Self {
    Self {
      body_bytes_max: 1 << 30,
      head_bytes_max: 32_768,
      head_timeout_ms: 10_000,
      idle_timeout_ms: 60_000,
    }
  }
}
