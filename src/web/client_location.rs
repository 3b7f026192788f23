use super::*;

/// Whether a client is on the same box as the server. The server stores it in the extensions of
/// each request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientLocation {
  /// Reached over the network, so that responses use the bandwidth of the box's link.
  Remote,
  /// On the same box.
  SameBox,
}

impl ClientLocation {
  /// Determines the location from the addresses of both ends of a connection.
  pub(super) fn of(client: SocketAddr, own: SocketAddr) -> Self {
    let is_same = client.ip().is_loopback() || client.ip() == own.ip();
    if is_same { Self::SameBox } else { Self::Remote }
  }
}
