/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
  /// For the next request of its peer.
  Idle,
  /// For the rest of a request of its peer.
  Receiving,
  /// For its peer to read an answer.
  Sending,
  /// For this process.
  Working,
}

impl Phase {
  /// Whether a request of the connection is being answered.
  pub fn is_busy(self) -> bool {
    matches!(self, Self::Sending | Self::Working)
  }

  /// Whether the connection waits for its peer.
  pub fn awaits_peer(self) -> bool {
    self != Self::Working
  }
}
