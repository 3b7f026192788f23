use super::*;

/// A fake backend server. It runs every request, records it in a journal and returns a summary.
///
/// `GET /healthz` is its health endpoint, `GET /journal` returns the [`Journal`], and `POST /fault`
/// sets the [`BackendFaults`].
pub struct BackendServer {
  /// The bound address.
  pub address: SocketAddr,
  state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
  at_once: u32,
  faults: BackendFaults,
  journal: Journal,
  name: String,
}

impl BackendServer {
  /// The maximum number of runs in the journal. Later ones are not recorded.
  const RUNS_MAX: usize = 100_000;

  /// Starts serving on `listener`. Answers contain `name`.
  pub fn start(listener: web::Listener, name: &str) -> io::Result<Self> {
    let address = listener.address()?;
    let state = Rc::new(RefCell::new(State { name: name.into(), ..State::default() }));
    let shared = state.clone();
    web::Server::start(listener, move |request| handle(shared.clone(), request));
    Ok(Self { address, state })
  }

  /// Returns a copy of the journal.
  pub fn journal(&self) -> Journal {
    self.state.borrow().journal.clone()
  }
}

async fn handle(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<AnyBody> {
  match request.uri().path() {
    "/healthz" if state.borrow().faults.draining => {
      web::text(StatusCode::SERVICE_UNAVAILABLE, "draining")
    }
    "/healthz" => web::text(StatusCode::OK, "live"),
    "/journal" => web::json(StatusCode::OK, &state.borrow().journal),
    "/fault" => set_faults(&state, request).await,
    _ => run(state, request).await,
  }
}

async fn set_faults(state: &RefCell<State>, request: Request<Incoming>) -> Response<AnyBody> {
  let body = web::collect(request.into_body(), VALUE_BYTES_MAX).await;
  match body.ok().and_then(|body| serde_json::from_slice(&body).ok()) {
    Some(faults) => {
      state.borrow_mut().faults = faults;
      web::text(StatusCode::OK, "done")
    }
    None => web::text(StatusCode::BAD_REQUEST, "give the faults as JSON"),
  }
}

async fn run(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<AnyBody> {
  let _guard = RunningGuard::enter(&state);
  let faults = state.borrow().faults.clone();
  let index = start(&state, &request);
  let (bytes, digest, complete) = read_whole(request.into_body()).await;
  if faults.delay_ms > 0 {
    monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
  }
  if faults.hang {
    std::future::pending::<()>().await;
  }
  let answer = {
    let mut state = state.borrow_mut();
    let number = state.journal.runs.len();
    let name = state.name.clone();
    if let Some(run) = state.journal.runs.get_mut(index) {
      run.bytes = bytes;
      run.digest = digest;
      run.complete = complete;
      run.ended_unix_ms = unix_ms();
    }
    serde_json::json!({ "backend_server": name, "bytes": bytes, "digest": digest, "run": number })
  };
  let status = faults.status.and_then(|status| StatusCode::from_u16(status).ok());
  let mut response = web::json(status.unwrap_or(StatusCode::OK), &answer);
  if let Some(limit) = faults.limit_per_s.and_then(|limit| limit.to_string().parse().ok()) {
    response.headers_mut().insert(crate::node::header_names::RATE_LIMIT, limit);
  }
  if faults.cut { truncate(response) } else { response }
}

/// Records the start of a request. Returns its index in the journal.
fn start(state: &RefCell<State>, request: &Request<Incoming>) -> usize {
  let header = |name: &str| {
    request.headers().get(name).and_then(|value| value.to_str().ok()).map(ToString::to_string)
  };
  let run = Run {
    bytes: 0,
    complete: false,
    digest: Digest::of(b""),
    ended_unix_ms: 0,
    key: header(crate::proxy::headers::KEY),
    line: format!("{} {}", request.method(), request.uri()),
    request_id: header(crate::proxy::headers::REQUEST_ID),
    started_unix_ms: unix_ms(),
  };
  let runs = &mut state.borrow_mut().journal.runs;
  if runs.len() < BackendServer::RUNS_MAX {
    runs.push(run);
  }
  runs.len() - 1
}

/// Reads a body. Returns its size in bytes, its digest and whether it was complete.
async fn read_whole(mut body: Incoming) -> (u64, Digest, bool) {
  let mut hasher = blake3::Hasher::new();
  let mut bytes = 0;
  loop {
    let frame = match body.frame().await {
      None => return (bytes, Digest::from(hasher), true),
      Some(Err(_)) => return (bytes, Digest::from(hasher), false),
      Some(Ok(frame)) => frame,
    };
    if let Some(data) = frame.data_ref() {
      hasher.update(data);
      bytes += data.len() as u64;
    }
  }
}

/// Replaces the body of an answer by one that fails before its announced end.
fn truncate(response: Response<AnyBody>) -> Response<AnyBody> {
  let (mut head, _) = response.into_parts();
  let length = HeaderValue::from_static("1000");
  head.headers.insert(http::header::CONTENT_LENGTH, length);
  let half: Vec<std::result::Result<_, web::BodyError>> = vec![
    Ok(http_body::Frame::data(Bytes::from_static(b"{\"half\":"))),
    Err("cut off on command".into()),
  ];
  let stream = http_body_util::StreamBody::new(futures_util::stream::iter(half));
  Response::from_parts(head, AnyBody::streamed(stream))
}

/// Counts a request as running until dropped.
struct RunningGuard(Rc<RefCell<State>>);

impl RunningGuard {
  fn enter(state: &Rc<RefCell<State>>) -> Self {
    let mut inner = state.borrow_mut();
    inner.at_once += 1;
    inner.journal.at_once_max = inner.journal.at_once_max.max(inner.at_once);
    Self(state.clone())
  }
}

impl Drop for RunningGuard {
  fn drop(&mut self) {
    self.0.borrow_mut().at_once -= 1;
  }
}
