use super::*;

use socket2::{Domain, Protocol, Type};

/// A TCP listener that refuses a port another process has.
pub struct Listener {
  inner: TcpListener,
}

impl Listener {
  /// Pause after a failed accept, such as one that ran out of file descriptors.
  const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

  /// Connections that wait to be accepted.
  const BACKLOG: i32 = 1_024;
  /// Bytes of an answer that the kernel takes before the network wants them. It would take megabytes, and an answer
  /// that waits in front of a full link for seconds would look given: its slot would be free for the next one,
  /// and its box would stop. Some round trips of a fast link need no more.
  const UNSENT_BYTES_MAX: u32 = 16_384;

  /// Binds `address`. Port 0 takes any free port.
  pub fn bind(address: SocketAddr) -> io::Result<Self> {
    let domain = Domain::for_address(address);
    let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit it.
    socket.set_tcp_notsent_lowat(Self::UNSENT_BYTES_MAX)?;
    socket.bind(&address.into())?;
    socket.listen(Self::BACKLOG)?;
    Ok(Self { inner: TcpListener::from_std(socket.into())? })
  }

  /// The bound address.
  pub fn address(&self) -> io::Result<SocketAddr> {
    self.inner.local_addr()
  }

  /// The next connection, and who made it. Failed accepts are tried again after a pause.
  pub async fn accept(&self) -> (TcpStream, SocketAddr) {
    loop {
      match self.inner.accept().await {
        Ok((stream, peer)) if stream.set_nodelay(true).is_ok() => return (stream, peer),
        Ok(_) => {}
        Err(_) => timer::sleep(Self::ACCEPT_PAUSE).await,
      }
    }
  }
}
