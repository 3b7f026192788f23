/// The ledger's answer to a daemon's draw.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
  /// The retry delay in milliseconds for callers that got no token.
  pub retry_after_ms: u64,
  /// The number of requests that the daemon may admit within the token lifetime.
  pub tokens: u64,
}
