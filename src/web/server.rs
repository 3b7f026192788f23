use super::*;

/// Serves HTTP on one listener until it is stopped, then lets what is under way end.
pub struct Server {
  open: Rc<Cell<usize>>,
  stop: RefCell<Option<futures_channel::oneshot::Sender<()>>>,
  stopped: Stopped,
}

/// Resolves once a server stops.
pub type Stopped = futures_util::future::Shared<futures_channel::oneshot::Receiver<()>>;

/// Milliseconds for which a head may take to arrive.
const HEAD_TIMEOUT_MS: u64 = 10_000;
/// Largest head in bytes.
const HEAD_BYTES_MAX: usize = 32_768;

impl Server {
  /// Starts to serve `listener` with `handler`.
  pub fn start<H, F>(listener: Listener, handler: H) -> Rc<Self>
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
    monoio::spawn(async move {
      let (open, stopped) = (kept.open.clone(), kept.stopped.clone());
      let accepting = accept(&listener, open, stopped.clone(), handler);
      futures_util::future::select(Box::pin(accepting), stopped).await;
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

async fn accept<H, F>(listener: &Listener, open: Rc<Cell<usize>>, stopped: Stopped, handler: H)
where
  H: Fn(Request<Incoming>) -> F + Clone + 'static,
  F: Future<Output = Response<AnyBody>> + 'static,
{
  loop {
    let stream = listener.accept().await;
    let connection = serve(stream, stopped.clone(), handler.clone());
    let open = open.clone();
    open.set(open.get() + 1);
    monoio::spawn(async move {
      connection.await;
      open.set(open.get() - 1);
    });
  }
}

async fn serve<H, F>(stream: TcpStream, stopped: Stopped, handler: H)
where
  H: Fn(Request<Incoming>) -> F + 'static,
  F: Future<Output = Response<AnyBody>> + 'static,
{
  let Ok(stream) = stream.try_into_poll_io() else {
    return;
  };
  let service = hyper::service::service_fn(move |request| {
    let answer = handler(request);
    async move { Ok::<_, std::convert::Infallible>(answer.await) }
  });
  let mut builder = hyper::server::conn::http1::Builder::new();
  builder
    .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
    .max_buf_size(HEAD_BYTES_MAX)
    .timer(MonoioTimer);
  let mut connection = Box::pin(builder.serve_connection(MonoioIo::new(stream), service));
  let first = futures_util::future::select(&mut connection, stopped).await;
  if matches!(first, futures_util::future::Either::Right(_)) {
    connection.as_mut().graceful_shutdown();
    connection.await.ok();
  }
}
