use super::*;

/// A port that the kernel chose and that nobody else gets for as long as this lives, so that a process
/// can be started on it again and again.
pub struct HeldPort {
  /// The address.
  pub address: SocketAddr,
  _socket: Socket,
}

impl HeldPort {
  /// Takes a port.
  pub fn take() -> Result<Self> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket();
    let address = address.ok_or_else(|| Error::Unexpected("a port without an address".into()))?;
    Ok(Self { address, _socket: socket })
  }
}
