/// What the ledger of an organisation gives a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
  /// Milliseconds after which callers that got no token may come back.
  pub retry_after_ms: u64,
  /// Requests that the daemon may admit soon.
  pub tokens: u64,
}
