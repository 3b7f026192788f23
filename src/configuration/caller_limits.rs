use super::*;

/// What callers may send, and how long they may take or rest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
  /// Largest body in bytes.
  pub body_bytes_max: u64,
  /// Largest head in bytes.
  pub head_bytes_max: usize,
  /// Milliseconds for which a head may take to arrive.
  pub head_timeout_ms: u64,
  /// Milliseconds for which a connection may rest between two requests.
  pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
  /// What holds where no configuration says otherwise: generous enough for browsers and uploads.
  fn default() -> Self {
    Self {
      body_bytes_max: 1 << 30,
      head_bytes_max: 32_768,
      head_timeout_ms: 10_000,
      idle_timeout_ms: 60_000,
    }
  }
}
