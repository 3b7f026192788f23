use super::*;

/// Kept client connections by address. Only a connection that is idle and clean is used again.
pub struct Pool {
  connect_timeout_ms: u64,
  idle: RefCell<BTreeMap<SocketAddr, Vec<Client>>>,
}

impl Pool {
  /// Idle connections kept per address.
  const IDLE_MAX: usize = 64;
  /// Milliseconds that a connection may rest where its server does not say for how long it keeps one.
  const REST_MAX_MS: u64 = 4_000;

  /// A pool that waits `connect_timeout_ms` for a new connection.
  pub fn new(connect_timeout_ms: u64) -> Self {
    Self { connect_timeout_ms, idle: RefCell::default() }
  }

  /// A connection to `address`, kept or new.
  pub async fn checkout(&self, address: SocketAddr) -> Result<Client> {
    while let Some(mut client) = self.pop(address) {
      if is_fresh(&client) && client.is_clean() {
        return Ok(client);
      }
    }
    self.connect(address).await
  }

  /// A connection to `address`, kept or new, where it comes up within `connect_ms`.
  pub async fn checkout_within(&self, address: SocketAddr, connect_ms: u64) -> Result<Client> {
    within(address, connect_ms, self.checkout(address)).await
  }

  fn pop(&self, address: SocketAddr) -> Option<Client> {
    self.idle.borrow_mut().get_mut(&address)?.pop()
  }

  /// A new connection to `address`, in the place of a kept one where there is one: so there are never
  /// more connections than exchanges that were ever under way at once.
  pub async fn connect_anew(&self, address: SocketAddr) -> Result<Client> {
    drop(self.pop(address));
    self.connect(address).await
  }

  /// A connection to `address` besides the kept ones.
  pub async fn connect(&self, address: SocketAddr) -> Result<Client> {
    let failed = |err: &io::Error| Error::Unreachable {
      address,
      reason: err.to_string(),
      refused: err.kind() == io::ErrorKind::ConnectionRefused,
    };
    let limit = Duration::from_millis(self.connect_timeout_ms);
    let stream = timer::timeout(limit, TcpStream::connect_addr(address))
      .await
      .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
      .map_err(|err| failed(&err))?;
    stream.set_nodelay(true).map_err(|err| failed(&err))?;
    Client::new(address, stream).map_err(|err| failed(&err))
  }

  /// A new connection besides the kept ones, where it comes up within `connect_ms`.
  pub async fn connect_within(&self, address: SocketAddr, connect_ms: u64) -> Result<Client> {
    within(address, connect_ms, self.connect(address)).await
  }

  /// Closes all connections that rest: one of them was dead, and nothing tells which others are.
  pub fn forget_idle(&self) {
    self.idle.borrow_mut().clear();
  }

  /// Keeps a connection whose exchange is over.
  pub(super) fn checkin(&self, mut client: Client) {
    client.idle_since = timer::now();
    let mut idle = self.idle.borrow_mut();
    let clients = idle.entry(client.address).or_default();
    if clients.len() < Self::IDLE_MAX {
      clients.push(client);
    }
  }

  /// Closes connections that rested for too long, and those that their servers closed.
  pub fn prune(&self) {
    let mut idle = self.idle.borrow_mut();
    for clients in idle.values_mut() {
      clients.retain_mut(|client| is_fresh(client) && client.is_clean());
    }
    idle.retain(|_, clients| !clients.is_empty());
  }

  /// Sends a request on a connection and waits for the head of its answer. `mark` is what the answer
  /// must carry.
  pub async fn send(
    self: &Rc<Self>,
    client: Client,
    request: Request<AnyBody>,
    mark: Option<Mark>,
  ) -> Result<Response<ResponseBody>> {
    client.exchange(request, mark, Some(self.clone())).await
  }

  /// Sends a request and reads its whole answer of at most `bytes_max` bytes.
  pub async fn exchange(
    self: &Rc<Self>,
    address: SocketAddr,
    request: Request<AnyBody>,
    bytes_max: usize,
  ) -> Result<(StatusCode, Bytes)> {
    let (head, body) = self.exchange_whole(address, request, bytes_max).await?;
    Ok((head.status, body))
  }

  /// Sends a request and reads its answer with head and body, of at most `bytes_max` bytes.
  pub async fn exchange_whole(
    self: &Rc<Self>,
    address: SocketAddr,
    request: Request<AnyBody>,
    bytes_max: usize,
  ) -> Result<(http::response::Parts, Bytes)> {
    let client = self.checkout(address).await?;
    let (head, body) = self.send(client, request, None).await?.into_parts();
    let body = collect(body, bytes_max).await?;
    Ok((head, body))
  }
}

/// Waits `connect_ms` for a connection.
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

/// Whether a connection has not rested for so long that its server may be about to close it.
fn is_fresh(client: &Client) -> bool {
  let rested = timer::now().saturating_sub(client.idle_since);
  let kept_ms = client.kept_ms.map_or(Pool::REST_MAX_MS, |kept_ms| kept_ms * 4 / 5);
  rested < Duration::from_millis(kept_ms)
}
