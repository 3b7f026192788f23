use super::*;

/// A loopback proxy in front of one listener that injects network faults.
#[derive(Clone)]
pub struct FaultProxy {
  /// The address on which the proxy listens.
  pub address: SocketAddr,
  _held_port: Rc<HeldPort>,
  state: Rc<State>,
}

#[derive(Default)]
struct State {
  /// Bytes that were queued at the narrow link ahead of each small piece back from the listener.
  ahead: RefCell<Vec<u64>>,
  /// Delay of every piece in milliseconds.
  delay_ms: Cell<Ms>,
  /// The bandwidth limit in each direction; `None` means unlimited.
  link: Cell<Option<NarrowLink>>,
  /// Whether connections are refused, as if the target process had ended.
  refuses: Cell<bool>,
  /// Number of resets of all connections. A connection that was opened at a lower number is reset.
  resets: Cell<u64>,
  /// Number of times that all open connections went silent for good. New connections work.
  severances: Cell<u64>,
  /// Connections that went silent up to this number of severances carry again what was withheld.
  resumed: Cell<u64>,
  /// Whether pieces towards the listener, and pieces back from it, are withheld.
  silent: Cell<(bool, bool)>,
}

/// A bandwidth limit that all connections of a proxy share, separately for each direction.
#[derive(Clone, Copy)]
struct NarrowLink {
  /// When the link becomes idle, by direction: index 0 is back from the listener, index 1 towards it.
  free_at: [Instant; 2],
  kbytes_per_s: u64,
}

impl NarrowLink {
  /// Returns the bytes that have yet to cross.
  fn queued_bytes(&self, towards: bool) -> u64 {
    let left = self.free_at[usize::from(towards)].saturating_duration_since(Instant::now());
    u64::try_from(left.as_micros()).unwrap_or(u64::MAX) * self.kbytes_per_s / 1_000
  }

  /// Queues `bytes` bytes. Returns when they arrive at the other end.
  fn send(&mut self, bytes: usize, towards: bool) -> Instant {
    let free_at = &mut self.free_at[usize::from(towards)];
    let takes_us = bytes as u64 * 1_000 / self.kbytes_per_s;
    *free_at = (*free_at).max(Instant::now()) + Duration::from_micros(takes_us);
    *free_at
  }
}

impl FaultProxy {
  /// Polling interval of the injected faults in milliseconds.
  const LOOK_MS: Ms = 20;
  /// Maximum bytes of a piece.
  pub(super) const PIECE_BYTES: usize = 16_384;
  /// Maximum bytes of a piece that counts as small: the head of an answer and a short body.
  const SMALL_BYTES: usize = 2_048;

  /// Starts a proxy in front of `target`.
  pub fn start(target: SocketAddr) -> Result<Self> {
    let held_port = HeldPort::reserve()?;
    let address = held_port.address;
    let state = Rc::new(State::default());
    let listener = web::Listener::bind(address)?;
    monoio::spawn(listen(address, listener, target, state.clone()));
    Ok(Self { address, _held_port: Rc::new(held_port), state })
  }

  /// Sets whether connections are refused. Takes effect within [`Self::LOOK_MS`].
  pub fn refuse(&self, refuses: bool) {
    self.state.refuses.set(refuses);
  }

  /// Delays every piece by `delay_ms`.
  pub fn delay(&self, delay_ms: Ms) {
    self.state.delay_ms.set(delay_ms);
  }

  /// Limits the bandwidth in each direction.
  pub fn narrow(&self, kbytes_per_s: u64) {
    self.state.link.set(Some(NarrowLink { free_at: [Instant::now(); 2], kbytes_per_s }));
  }

  /// Returns the bytes that were queued at the narrow link ahead of each small piece back from the listener since the
  /// last call.
  pub fn take_ahead(&self) -> Vec<u64> {
    self.state.ahead.take()
  }

  /// Resets all open connections.
  pub fn reset(&self) {
    self.state.resets.set(self.state.resets.get() + 1);
  }

  /// Silences all open connections for good, without closing them. New connections work.
  pub fn sever(&self) {
    self.state.severances.set(self.state.severances.get() + 1);
  }

  /// Lets all silenced connections deliver what was withheld, and go on.
  pub fn resume(&self) {
    self.state.resumed.set(self.state.severances.get());
  }

  /// Sets whether bytes towards the listener, and bytes back from it, are withheld.
  pub fn silence(&self, towards: bool, back: bool) {
    self.state.silent.set((towards, back));
  }
}

/// Accepts connections, except while they are to be refused.
async fn listen(
  address: SocketAddr,
  mut listener: web::Listener,
  target: SocketAddr,
  state: Rc<State>,
) {
  let look = || monoio::time::sleep(Duration::from_millis(FaultProxy::LOOK_MS));
  loop {
    while !state.refuses.get() {
      if let Either::Left(((stream, _), _)) =
        select(Box::pin(listener.accept()), Box::pin(look())).await
        && !state.refuses.get()
      {
        monoio::spawn(carry(stream, target, state.clone()));
      }
    }
    drop(listener);
    listener = loop {
      look().await;
      if state.refuses.get() {
        continue;
      }
      match web::Listener::bind(address) {
        Ok(listener) => break listener,
        Err(err) => eprintln!("the proxy cannot listen on {address} yet: {err}"),
      }
    };
  }
}

async fn carry(stream: TcpStream, target: SocketAddr, state: Rc<State>) {
  let Ok(onward) = TcpStream::connect_addr(target).await else {
    return;
  };
  stream.set_nodelay(true).ok();
  onward.set_nodelay(true).ok();
  let opened = Opened { resets: state.resets.get(), severances: state.severances.get() };
  let (from_read, from_write) = stream.into_split();
  let (to_read, to_write) = onward.into_split();
  let towards = pump(from_read, to_write, state.clone(), opened, true);
  let back = pump(to_read, from_write, state, opened, false);
  select(Box::pin(towards), Box::pin(back)).await;
}

/// The proxy's counts of resets and severances when a connection was opened.
#[derive(Clone, Copy)]
struct Opened {
  resets: u64,
  severances: u64,
}

async fn pump(
  mut from: impl AsyncReadRent,
  mut to: impl AsyncWriteRentExt,
  state: Rc<State>,
  opened: Opened,
  towards: bool,
) {
  let pause = || monoio::time::sleep(Duration::from_millis(FaultProxy::LOOK_MS));
  let mut piece = Vec::with_capacity(FaultProxy::PIECE_BYTES);
  loop {
    let reading = Box::pin(from.read(piece));
    let watching = Box::pin(async {
      while state.resets.get() == opened.resets {
        pause().await;
      }
    });
    let Either::Left(((Ok(count), read), _)) = select(reading, watching).await else {
      return;
    };
    if count == 0 {
      return;
    }
    let is_silent = |(first, second)| if towards { first } else { second };
    let is_severed = || state.severances.get() > opened.severances.max(state.resumed.get());
    let is_reset = || state.resets.get() != opened.resets;
    while (is_silent(state.silent.get()) || is_severed()) && !is_reset() {
      pause().await;
    }
    if state.delay_ms.get() > 0 {
      monoio::time::sleep(Duration::from_millis(state.delay_ms.get())).await;
    }
    if let Some(mut link) = state.link.get() {
      if !towards && count <= FaultProxy::SMALL_BYTES {
        state.ahead.borrow_mut().push(link.queued_bytes(towards));
      }
      let crossed_at = link.send(count, towards);
      state.link.set(Some(link));
      monoio::time::sleep(crossed_at.saturating_duration_since(Instant::now())).await;
    }
    let (written, mut again) = to.write_all(read).await;
    if written.is_err() || state.resets.get() != opened.resets {
      return;
    }
    again.clear();
    piece = again;
  }
}
