/// Limits of a server on the size and duration of its clients' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
  /// Largest body in bytes.
  pub body_bytes_max: u64,
  /// Largest head in bytes.
  pub head_bytes_max: usize,
  /// Longest time in milliseconds for a head to arrive.
  pub head_timeout_ms: u64,
  /// Longest time in milliseconds that a connection may be idle between two requests.
  pub idle_timeout_ms: u64,
}

impl Default for ServerLimits {
  /// Limits that suit operators' tools and other daemons.
  fn default() -> Self {
    Self {
      body_bytes_max: u64::MAX,
      head_bytes_max: 32_768,
      head_timeout_ms: 10_000,
      idle_timeout_ms: 60_000,
    }
  }
}
