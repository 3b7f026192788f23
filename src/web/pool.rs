use super::*;

/// A pool of client connections by address. It reuses a connection only if that is idle and has no
/// unread bytes.
pub struct Pool {
  connect_timeout_ms: u64,
  /// Most open connections, idle ones included.
  connections_max: usize,
  idle: RefCell<BTreeMap<SocketAddr, Vec<Client>>>,
  /// The number of open connections, and of those that are being opened.
  open: Rc<Cell<usize>>,
}

impl Pool {
  /// Idle connections kept per address.
  const IDLE_MAX: usize = 64;
  /// Longest idle time in milliseconds if the server sends no `Keep-Alive` timeout.
  const IDLE_MAX_MS: u64 = 4_000;

  /// Creates a pool that waits at most `connect_timeout_ms` for a new connection.
  pub fn new(connect_timeout_ms: u64) -> Self {
    Self {
      connect_timeout_ms,
      connections_max: usize::MAX,
      idle: RefCell::default(),
      open: Rc::default(),
    }
  }

  /// Limits the open connections.
  #[must_use]
  pub fn with_connections_max(self, connections_max: usize) -> Self {
    Self { connections_max, ..self }
  }

  /// Counts a new connection. If there are too many, an idle one ends for it.
  fn begin(&self) -> Result<OpenClient> {
    if self.open.get() >= self.connections_max {
      self.close_one_idle();
    }
    if self.open.get() >= self.connections_max {
      let reason = format!("{} connections to other boxes are open", self.open.get());
      return Err(Error::NoRoom { reason });
    }
    Ok(OpenClient::begin(&self.open))
  }

  /// Closes one of the idle connections.
  fn close_one_idle(&self) {
    let mut idle = self.idle.borrow_mut();
    idle.retain(|_, clients| !clients.is_empty());
    if let Some(mut clients) = idle.first_entry() {
      clients.get_mut().pop();
    }
  }

  /// Returns an idle connection to `address`, or opens one.
  pub async fn checkout(&self, address: SocketAddr) -> Result<Client> {
    while let Some(mut client) = self.pop(address) {
      if is_reusable(&client) && client.is_clean() {
        return Ok(client);
      }
    }
    self.connect(address).await
  }

  /// Like [`Self::checkout`], but waits at most `connect_ms`.
  pub async fn checkout_within(&self, address: SocketAddr, connect_ms: u64) -> Result<Client> {
    within(address, connect_ms, self.checkout(address)).await
  }

  fn pop(&self, address: SocketAddr) -> Option<Client> {
    self.idle.borrow_mut().get_mut(&address)?.pop()
  }

  /// Opens a connection to `address` and closes an idle one, if there is any. So the number of
  /// connections never exceeds the largest number of concurrent exchanges.
  pub async fn connect_replacing_idle(&self, address: SocketAddr) -> Result<Client> {
    drop(self.pop(address));
    self.connect(address).await
  }

  /// Opens a connection to `address`. Leaves idle ones alone.
  pub async fn connect(&self, address: SocketAddr) -> Result<Client> {
    let failed = |err: &io::Error| Error::Unreachable {
      address,
      reason: err.to_string(),
      refused: err.kind() == io::ErrorKind::ConnectionRefused,
    };
    let open = self.begin()?;
    let limit = Duration::from_millis(self.connect_timeout_ms);
    let stream = timer::timeout(limit, TcpStream::connect_addr(address))
      .await
      .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
      .map_err(|err| failed(&err))?;
    stream.set_nodelay(true).map_err(|err| failed(&err))?;
    Client::new(address, stream, open).map_err(|err| failed(&err))
  }

  /// Like [`Self::connect`], but waits at most `connect_ms`.
  pub async fn connect_within(&self, address: SocketAddr, connect_ms: u64) -> Result<Client> {
    within(address, connect_ms, self.connect(address)).await
  }

  /// Closes all idle connections. For use after one of them proved dead, since others may be too.
  pub fn close_idle(&self) {
    self.idle.borrow_mut().clear();
  }

  /// Returns a connection to the pool after its exchange.
  pub(super) fn checkin(&self, mut client: Client) {
    client.idle_since = timer::now();
    let mut idle = self.idle.borrow_mut();
    let clients = idle.entry(client.address).or_default();
    if clients.len() < Self::IDLE_MAX {
      clients.push(client);
    }
  }

  /// Closes connections that have been idle for too long or that their servers closed.
  pub fn prune(&self) {
    let mut idle = self.idle.borrow_mut();
    for clients in idle.values_mut() {
      clients.retain_mut(|client| is_reusable(client) && client.is_clean());
    }
    idle.retain(|_, clients| !clients.is_empty());
  }

  /// Sends a request on a connection and waits for the head of its response, which must carry the
  /// header `correlation`.
  pub async fn send(
    self: &Rc<Self>,
    client: Client,
    request: Request<AnyBody>,
    correlation: Option<CorrelationHeader>,
  ) -> Result<Response<ResponseBody>> {
    client.exchange(request, correlation, Some(self.clone())).await
  }

  /// Sends a request and reads its complete response. Returns the status and the body of at most
  /// `bytes_max` bytes.
  pub async fn exchange(
    self: &Rc<Self>,
    address: SocketAddr,
    request: Request<AnyBody>,
    bytes_max: usize,
  ) -> Result<(StatusCode, Bytes)> {
    let (head, body) = self.exchange_whole(address, request, bytes_max).await?;
    Ok((head.status, body))
  }

  /// Sends a request and reads its complete response. Returns the head and the body of at most
  /// `bytes_max` bytes.
  pub async fn exchange_whole(
    self: &Rc<Self>,
    address: SocketAddr,
    request: Request<AnyBody>,
    bytes_max: usize,
  ) -> Result<(http::response::Parts, Bytes)> {
    let client = self.checkout(address).await?;
    self.exchange_on(client, request, bytes_max).await
  }

  /// Like [`Self::exchange_whole`], but on a connection that was checked out.
  pub async fn exchange_on(
    self: &Rc<Self>,
    client: Client,
    request: Request<AnyBody>,
    bytes_max: usize,
  ) -> Result<(http::response::Parts, Bytes)> {
    let (head, body) = self.send(client, request, None).await?.into_parts();
    let body = collect(body, bytes_max).await?;
    Ok((head, body))
  }
}

/// Counts an open connection of a pool until dropped.
pub(super) struct OpenClient(Rc<Cell<usize>>);

impl OpenClient {
  fn begin(open: &Rc<Cell<usize>>) -> Self {
    open.set(open.get() + 1);
    Self(open.clone())
  }
}

impl Drop for OpenClient {
  fn drop(&mut self) {
    self.0.set(self.0.get() - 1);
  }
}

/// Waits at most `connect_ms` for a connection.
async fn within(
  address: SocketAddr,
  connect_ms: u64,
  connecting: impl Future<Output = Result<Client>>,
) -> Result<Client> {
  let limit = Duration::from_millis(connect_ms);
  timer::timeout(limit, connecting).await.unwrap_or_else(|_| {
    let reason = format!("did not come up within {connect_ms} ms");
    Err(Error::Unreachable { address, reason, refused: false })
  })
}

/// Whether a connection has been idle for less than four fifths of the server's keep-alive timeout.
/// After that the server may be about to close it.
fn is_reusable(client: &Client) -> bool {
  let idle_time = timer::now().saturating_sub(client.idle_since);
  let keep_alive_ms =
    client.keep_alive_ms.map_or(Pool::IDLE_MAX_MS, |keep_alive_ms| keep_alive_ms * 4 / 5);
  idle_time < Duration::from_millis(keep_alive_ms)
}
