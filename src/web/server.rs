use super::*;

/// Serves HTTP on one listener. When stopped, it lets running requests finish.
pub struct Server {
  open: Rc<Cell<usize>>,
  stop: RefCell<Option<futures_channel::oneshot::Sender<()>>>,
  stopped: Stopped,
}

/// How a server treats its clients.
pub struct ServerOptions {
  /// The connections of the process.
  pub connections: Rc<SharedConnections>,
  /// Who its clients are.
  pub kind: PeerKind,
  /// Limits on requests. Changes apply to open connections too.
  pub limits: Rc<Cell<ServerLimits>>,
}

impl ServerOptions {
  /// The default limits on requests.
  pub fn new(connections: &Rc<SharedConnections>, kind: PeerKind) -> Self {
    Self { connections: connections.clone(), kind, limits: Rc::default() }
  }
}

/// Resolves once a server stops.
pub type Stopped = futures_util::future::Shared<futures_channel::oneshot::Receiver<()>>;

impl Server {
  /// Serves `listener` with `handler` and the default limits, on any number of connections.
  pub fn start<H, F>(listener: Listener, handler: H) -> Rc<Self>
  where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<AnyBody>> + 'static,
  {
    let connections = SharedConnections::new(ConnectionLimits::unlimited());
    Self::start_with(listener, ServerOptions::new(&connections, PeerKind::Callers), handler)
  }

  /// Serves `listener` with `handler`.
  pub fn start_with<H, F>(listener: Listener, options: ServerOptions, handler: H) -> Rc<Self>
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
    // The task owns a reference, so that the server keeps running if its starter drops it.
    let running = server.clone();
    let handler: Handler = Rc::new(move |request| Box::pin(handler(request)));
    monoio::spawn(async move {
      let accepting = accept(&listener, &running, options, handler);
      futures_util::future::select(Box::pin(accepting), running.stopped.clone()).await;
    });
    server
  }

  /// The number of open connections.
  pub fn open(&self) -> usize {
    self.open.get()
  }

  /// Accepts no more connections, closes idle ones, and closes the others after their responses.
  pub fn stop(&self) {
    if let Some(stop) = self.stop.borrow_mut().take() {
      stop.send(()).ok();
    }
  }
}

async fn accept(listener: &Listener, server: &Server, options: ServerOptions, handler: Handler) {
  loop {
    let (stream, client) = listener.accept().await;
    let Some(entry) = options.connections.open(options.kind) else {
      continue;
    };
    let client_location = stream.local_addr().map(|own| ClientLocation::of(client, own));
    let (Ok(socket), Ok(client_location)) = (Socket::new(stream), client_location) else {
      continue;
    };
    let stopped = server.stopped.clone();
    let limits = options.limits.clone();
    let handler = handler.clone();
    let connection =
      ServerConnection::new(socket, client_location, handler, limits, stopped, entry);
    let open = server.open.clone();
    open.set(open.get() + 1);
    monoio::spawn(async move {
      connection.await;
      open.set(open.get() - 1);
    });
  }
}
