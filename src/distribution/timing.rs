/// The periods of distribution, all in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
  /// Between two beats of a link.
  pub beat_ms: u64,
  /// The life of a relay's lease. Renewed after a third of it.
  pub lease_ttl_ms: u64,
  /// For which news about endpoints is gathered before it is sent.
  pub news_delay_ms: u64,
  /// For which newer versions are gathered before an update is sent.
  pub push_delay_ms: u64,
}

impl Timing {
  /// Milliseconds without a word after which a neighbour counts as gone.
  pub fn silence_ms(&self) -> u64 {
    self.beat_ms * 5 / 2
  }
}
