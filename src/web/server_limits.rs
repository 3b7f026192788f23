/// What a server lets its clients send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
  /// Largest body in bytes.
  pub body_bytes_max: u64,
  /// Largest head in bytes.
  pub head_bytes_max: usize,
  /// Milliseconds for which a head may take to arrive.
  pub head_timeout_ms: u64,
  /// Milliseconds for which a connection may rest between two requests.
  pub idle_timeout_ms: u64,
}

impl Default for ServerLimits {
  /// Generous enough for operators' tools and for other daemons.
  fn default() -> Self {
    Self {
      body_bytes_max: u64::MAX,
      head_bytes_max: 32_768,
      head_timeout_ms: 10_000,
      idle_timeout_ms: 60_000,
    }
  }
}
