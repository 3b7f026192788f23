use super::*;

/// A TCP listener that refuses a port another process has.
pub struct Listener {
  inner: TcpListener,
}

impl Listener {
  /// Pause after a failed accept, such as one that ran out of file descriptors.
  const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

  /// Binds `address`. Port 0 takes any free port.
  pub fn bind(address: SocketAddr) -> io::Result<Self> {
    let options = ListenerOpts::new().reuse_port(false);
    Ok(Self { inner: TcpListener::bind_with_config(address, &options)? })
  }

  /// The bound address.
  pub fn address(&self) -> io::Result<SocketAddr> {
    self.inner.local_addr()
  }

  /// The next connection. Failed accepts are tried again after a pause.
  pub async fn accept(&self) -> TcpStream {
    loop {
      match self.inner.accept().await {
        Ok((stream, _)) if stream.set_nodelay(true).is_ok() => return stream,
        Ok(_) => {}
        Err(_) => timer::sleep(Self::ACCEPT_PAUSE).await,
      }
    }
  }
}
