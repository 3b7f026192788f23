use super::*;

/// Where a server's client is. Stands among the extensions of each request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
  /// Behind the network: what it gets crosses the box's link.
  Elsewhere,
  /// On the same box.
  SameBox,
}

impl Origin {
  /// Where the client of a connection is, by the addresses of its two ends.
  pub(super) fn of(client: SocketAddr, own: SocketAddr) -> Self {
    let is_same = client.ip().is_loopback() || client.ip() == own.ip();
    if is_same { Self::SameBox } else { Self::Elsewhere }
  }
}
