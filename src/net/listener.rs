use super::*;

use socket2::{Domain, Protocol, Type};

/// A TCP listener. Binding fails if another process listens on the port.
pub struct Listener {
  accepts: RefCell<Turns>,
  inner: TcpListener,
}

impl Listener {
  /// Pause after a failed accept, for instance when file descriptors have run out.
  const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

  /// Connections accepted between two rests of the task that accepts them.
  const ACCEPTS_MAX: u32 = 64;

  /// Connections that may wait to be accepted.
  const BACKLOG: i32 = 1_024;

  /// Unsent bytes that the kernel buffers per connection; enough for some round trips of a fast
  /// link. By default it buffers megabytes. A response that waits for seconds before a saturated
  /// link would then look sent: its slot would be reused, and its box would stop before the
  /// response is sent.
  const UNSENT_BYTES_MAX: u32 = 16_384;

  /// Binds `address`. Port 0 selects a free port.
  pub fn bind(address: SocketAddr) -> io::Result<Self> {
    let domain = Domain::for_address(address);
    let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit this option.
    socket.set_tcp_notsent_lowat(Self::UNSENT_BYTES_MAX)?;
    socket.bind(&address.into())?;
    socket.listen(Self::BACKLOG)?;
    let accepts = RefCell::new(Turns::new(Self::ACCEPTS_MAX));
    Ok(Self { accepts, inner: TcpListener::from_std(socket.into())? })
  }

  /// The bound address.
  pub fn address(&self) -> io::Result<SocketAddr> {
    self.inner.local_addr()
  }

  /// Accepts a connection and returns it with the peer's address. Retries failed accepts after a
  /// pause.
  pub async fn accept(&self) -> (TcpStream, SocketAddr) {
    loop {
      std::future::poll_fn(|context| self.accepts.borrow_mut().poll_step(context)).await;
      self.accepts.borrow_mut().count_step();
      match self.inner.accept().await {
        Ok((stream, peer)) if stream.set_nodelay(true).is_ok() => return (stream, peer),
        Ok(_) => {}
        Err(_) => timer::sleep(Self::ACCEPT_PAUSE).await,
      }
    }
  }
}
