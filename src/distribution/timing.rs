/// The periods of distribution, all in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
  /// Delay before updated endpoints are sent, to combine several into one message.
  pub endpoint_delay_ms: u64,
  /// Interval between two heartbeats on a link.
  pub heartbeat_ms: u64,
  /// Time to live of a relay's lease, which is renewed after a third of it.
  pub lease_ttl_ms: u64,
  /// Delay before an update is sent, to combine several new versions into one message.
  pub update_delay_ms: u64,
}

impl Timing {
  /// Returns the milliseconds without a message after which a neighbour counts as failed.
  pub fn silence_ms(&self) -> u64 {
    self.heartbeat_ms * 5 / 2
  }
}
