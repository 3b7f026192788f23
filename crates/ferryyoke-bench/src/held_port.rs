use super::*;

/// A loopback port chosen by the kernel and reserved while this value lives, so that a process can
/// be restarted on it.
pub struct HeldPort {
  /// The address of the port.
  pub address: SocketAddr,
  _socket: Socket,
}

impl HeldPort {
  /// Reserves a port by binding a socket that never listens.
  pub fn reserve() -> Result<Self> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket();
    let address =
      address.ok_or_else(|| Error::Unexpected("the reserved port has no IP address".into()))?;
    Ok(Self { address, _socket: socket })
  }
}
