use super::*;

/// A proxy on loopback in front of one listener, that harms what it carries.
pub struct FaultProxy {
  /// Where it listens.
  pub address: SocketAddr,
  state: Rc<State>,
}

#[derive(Default)]
struct State {
  /// Milliseconds by which every piece is late.
  delay_ms: Cell<Ms>,
  /// Grows when all connections are to be reset.
  resets: Cell<u64>,
  /// Grows when all open connections go silent for good, while new ones are well.
  severances: Cell<u64>,
  /// Whether pieces towards the listener, and back from it, are held back.
  silent: Cell<(bool, bool)>,
}

impl FaultProxy {
  /// Milliseconds between two looks at what is to be harmed.
  const LOOK_MS: Ms = 20;
  /// Bytes carried at once.
  const PIECE_BYTES: usize = 16_384;

  /// Starts a proxy in front of `target`.
  pub fn start(target: SocketAddr) -> Result<Self> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    let state = Rc::new(State::default());
    let accepting = state.clone();
    monoio::spawn(async move {
      while let Ok((stream, _)) = listener.accept().await {
        monoio::spawn(carry(stream, target, accepting.clone()));
      }
    });
    Ok(Self { address, state })
  }

  /// Makes everything late.
  pub fn delay(&self, delay_ms: Ms) {
    self.state.delay_ms.set(delay_ms);
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
    let (written, mut again) = to.write_all(read).await;
    if written.is_err() || state.resets.get() != opened.resets {
      return;
    }
    again.clear();
    piece = again;
  }
}
