use super::*;

/// A proxy on loopback in front of one listener, that harms what it carries.
#[derive(Clone)]
pub struct FaultProxy {
  /// Where it listens.
  pub address: SocketAddr,
  _held_port: Rc<HeldPort>,
  state: Rc<State>,
}

#[derive(Default)]
struct State {
  /// Milliseconds by which every piece is late.
  delay_ms: Cell<Ms>,
  /// How fast bytes cross, each way; nothing where that has no bound.
  link: Cell<Option<NarrowLink>>,
  /// Whether nobody listens, as where a process has ended.
  refuses: Cell<bool>,
  /// Grows when all connections are to be reset.
  resets: Cell<u64>,
  /// Grows when all open connections go silent for good, while new ones are well.
  severances: Cell<u64>,
  /// Whether pieces towards the listener, and back from it, are held back.
  silent: Cell<(bool, bool)>,
}

/// A link that all connections of a proxy share, each way by itself.
#[derive(Clone, Copy)]
struct NarrowLink {
  /// When all that was sent towards the listener will have crossed, and all that was sent back.
  free_at: [Instant; 2],
  kbytes_per_s: u64,
}

impl NarrowLink {
  /// Sends so many bytes. Returns when they will have crossed.
  fn send(&mut self, bytes: usize, towards: bool) -> Instant {
    let free_at = &mut self.free_at[usize::from(towards)];
    let takes_us = bytes as u64 * 1_000 / self.kbytes_per_s;
    *free_at = (*free_at).max(Instant::now()) + Duration::from_micros(takes_us);
    *free_at
  }
}

impl FaultProxy {
  /// Milliseconds between two looks at what is to be harmed.
  const LOOK_MS: Ms = 20;
  /// Bytes carried at once.
  const PIECE_BYTES: usize = 16_384;

  /// Starts a proxy in front of `target`.
  pub fn start(target: SocketAddr) -> Result<Self> {
    let held_port = HeldPort::reserve()?;
    let address = held_port.address;
    let state = Rc::new(State::default());
    let listener = web::Listener::bind(address)?;
    monoio::spawn(listen(address, listener, target, state.clone()));
    Ok(Self { address, _held_port: Rc::new(held_port), state })
  }

  /// Whether connections are refused from now on, within [`Self::LOOK_MS`].
  pub fn refuse(&self, refuses: bool) {
    self.state.refuses.set(refuses);
  }

  /// Makes everything late.
  pub fn delay(&self, delay_ms: Ms) {
    self.state.delay_ms.set(delay_ms);
  }

  /// Bounds how fast bytes cross from now on, each way.
  pub fn narrow(&self, kbytes_per_s: u64) {
    self.state.link.set(Some(NarrowLink { free_at: [Instant::now(); 2], kbytes_per_s }));
  }

  /// Resets all connections.
  pub fn reset(&self) {
    self.state.resets.set(self.state.resets.get() + 1);
  }

  /// Lets all open connections go silent for good, without an end that anybody could see. New ones are well.
  pub fn sever(&self) {
    self.state.severances.set(self.state.severances.get() + 1);
  }

  /// Holds back what goes towards the listener, and what comes back from it.
  pub fn silence(&self, towards: bool, back: bool) {
    self.state.silent.set((towards, back));
  }
}

/// Takes connections, but while nobody is to listen.
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
        Err(err) => eprintln!("the proxy at {address} does not listen yet: {err}"),
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

/// What had happened to a proxy's connections when one of them opened.
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
    let is_severed = || state.severances.get() != opened.severances;
    let is_reset = || state.resets.get() != opened.resets;
    while (is_silent(state.silent.get()) || is_severed()) && !is_reset() {
      pause().await;
    }
    if state.delay_ms.get() > 0 {
      monoio::time::sleep(Duration::from_millis(state.delay_ms.get())).await;
    }
    if let Some(mut link) = state.link.get() {
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
