use super::*;

/// Serves HTTP on one listener until it is stopped, then lets what is under way end.
pub struct Server {
  open: Rc<Cell<usize>>,
  stop: RefCell<Option<futures_channel::oneshot::Sender<()>>>,
  stopped: Stopped,
}

/// Resolves once a server stops.
pub type Stopped = futures_util::future::Shared<futures_channel::oneshot::Receiver<()>>;

impl Server {
  /// Starts to serve `listener` with `handler`, within generous limits.
  pub fn start<H, F>(listener: Listener, handler: H) -> Rc<Self>
  where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<AnyBody>> + 'static,
  {
    Self::start_with(listener, Rc::new(Cell::new(ServerLimits::default())), handler)
  }

  /// Starts to serve `listener` with `handler`, within `limits`, which may change.
  pub fn start_with<H, F>(
    listener: Listener,
    limits: Rc<Cell<ServerLimits>>,
    handler: H,
  ) -> Rc<Self>
  where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<AnyBody>> + 'static,
  {
    let (stop, stopped) = futures_channel::oneshot::channel();
    let server = Rc::new(Self {
      open: Rc::default(),
      stop: RefCell::new(Some(stop)),
      stopped: stopped.shared(),
    });
    // The task keeps the server, so that it goes on where the caller drops it.
    let kept = server.clone();
    let handler: Handler = Rc::new(move |request| Box::pin(handler(request)));
    monoio::spawn(async move {
      let accepting = accept(&listener, &kept, limits, handler);
      futures_util::future::select(Box::pin(accepting), kept.stopped.clone()).await;
    });
    server
  }

  /// Connections that are open.
  pub fn open(&self) -> usize {
    self.open.get()
  }

  /// Takes no more connections, closes idle ones, and closes the others after their answers.
  pub fn stop(&self) {
    if let Some(stop) = self.stop.borrow_mut().take() {
      stop.send(()).ok();
    }
  }
}

async fn accept(
  listener: &Listener,
  server: &Server,
  limits: Rc<Cell<ServerLimits>>,
  handler: Handler,
) {
  loop {
    let (stream, client) = listener.accept().await;
    let origin = stream.local_addr().map(|own| Origin::of(client, own));
    let (Ok(socket), Ok(origin)) = (Socket::new(stream), origin) else {
      continue;
    };
    let stopped = server.stopped.clone();
    let connection =
      ServerConnection::new(socket, origin, handler.clone(), limits.clone(), stopped);
    let open = server.open.clone();
    open.set(open.get() + 1);
    monoio::spawn(async move {
      connection.await;
      open.set(open.get() - 1);
    });
  }
}
