use super::*;

/// The fake store: a keyspace over HTTP, with rate limits and fault injection.
///
/// `POST /v1/call` executes a [`StoreRequest`], `POST /fault` sets the [`StoreFaults`], and `GET
/// /calls` returns the number of calls by kind. `POST /save` and `POST /restore` save and restore
/// the content.
pub struct StoreServer {
  /// The bound address.
  pub address: SocketAddr,
}

struct State {
  calls: BTreeMap<&'static str, u64>,
  clock: Instant,
  faults: StoreFaults,
  keyspace: Keyspace,
  reads: Bucket,
  saved: Option<Keyspace>,
  /// Wakes the waiting watches.
  waiting: Vec<futures_channel::oneshot::Sender<()>>,
  writes: Bucket,
}

impl StoreServer {
  /// Milliseconds that every reply takes at least.
  const LATENCY_MS: u64 = 2;
  /// The rate limit of calls that don't write, per second.
  pub const READS_PER_SECOND: u64 = 2_000;
  /// The rate limit of calls that write, per second.
  pub const WRITES_PER_SECOND: u64 = 400;

  /// Starts serving on `listener`.
  pub fn start(listener: web::Listener) -> io::Result<Self> {
    let address = listener.address()?;
    let now = Time(0);
    let state = Rc::new(RefCell::new(State {
      calls: BTreeMap::new(),
      clock: Instant::now(),
      faults: StoreFaults::default(),
      keyspace: Keyspace::default(),
      reads: Bucket::new(now, Self::READS_PER_SECOND),
      saved: None,
      waiting: Vec::new(),
      writes: Bucket::new(now, Self::WRITES_PER_SECOND),
    }));
    web::Server::start(listener, move |request| handle(state.clone(), request));
    Ok(Self { address })
  }
}

impl State {
  fn now(&self) -> Time {
    Time(u64::try_from(self.clock.elapsed().as_millis()).unwrap_or(u64::MAX))
  }

  fn set_faults(&mut self, mut faults: StoreFaults) {
    if std::mem::take(&mut faults.lapse_leases) {
      self.keyspace.expire_all_leases();
    }
    self.faults = faults;
    self.wake();
  }

  fn wake(&mut self) {
    for waiting in self.waiting.drain(..) {
      waiting.send(()).ok();
    }
  }

  /// Counts a call and applies the rate limits.
  fn admit(&mut self, request: &StoreRequest) -> std::result::Result<(), Refusal> {
    let kind = match request {
      StoreRequest::Watch { .. } => "watch",
      one if one.is_write() => "write",
      _ => "read",
    };
    *self.calls.entry(kind).or_default() += 1;
    let now = self.now();
    let bucket = if request.is_write() { &mut self.writes } else { &mut self.reads };
    bucket.take(now).map_err(|retry_after_ms| Refusal::TooMany { retry_after_ms })
  }

  fn call(&mut self, request: &StoreRequest) -> std::result::Result<Reply, Refusal> {
    let now = self.now();
    let before = self.keyspace.revision();
    let result = self.keyspace.call(now, request);
    if self.keyspace.revision() != before {
      self.wake();
    }
    result
  }

  /// Ends the expired leases.
  fn expire(&mut self) {
    let now = self.now();
    if self.keyspace.expire(now) {
      self.wake();
    }
  }

  /// Applies the configured faults to the reply of a watch.
  fn apply_watch_faults(&mut self, reply: Reply) -> Reply {
    let Reply::Changes { mut events, revision } = reply else {
      return reply;
    };
    if self.faults.skipped_watches > 0 && !events.is_empty() {
      self.faults.skipped_watches -= 1;
      events.clear();
    }
    if self.faults.repeated_watches {
      let again = events.clone();
      events.extend(again);
    }
    Reply::Changes { events, revision }
  }
}

async fn handle(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<AnyBody> {
  let path = request.uri().path().to_string();
  let Ok(body) = web::collect(request.into_body(), 2 * VALUE_BYTES_MAX).await else {
    return web::text(StatusCode::PAYLOAD_TOO_LARGE, "the call is too large");
  };
  match path.as_str() {
    "/v1/call" => call(state, &body).await,
    "/calls" => web::json(StatusCode::OK, &state.borrow().calls),
    "/fault" => match serde_json::from_slice(&body) {
      Ok(faults) => {
        state.borrow_mut().set_faults(faults);
        web::text(StatusCode::OK, "done")
      }
      Err(err) => web::text(StatusCode::BAD_REQUEST, err.to_string()),
    },
    "/save" => {
      let mut state = state.borrow_mut();
      state.saved = Some(state.keyspace.clone());
      web::text(StatusCode::OK, "done")
    }
    "/restore" => {
      let mut state = state.borrow_mut();
      state.keyspace = state.saved.clone().unwrap_or_default();
      state.wake();
      web::text(StatusCode::OK, "done")
    }
    _ => web::text(StatusCode::NOT_FOUND, "give /v1/call, /calls, /fault, /save or /restore"),
  }
}

async fn call(state: Rc<RefCell<State>>, body: &[u8]) -> Response<AnyBody> {
  let request: StoreRequest = match serde_json::from_slice(body) {
    Ok(request) => request,
    Err(err) => return refuse(&Refusal::Invalid { reason: err.to_string() }),
  };
  let (down, late_ms) = {
    let state = state.borrow();
    (state.faults.down, StoreServer::LATENCY_MS + state.faults.slow_ms)
  };
  monoio::time::sleep(Duration::from_millis(late_ms)).await;
  let admitted = state.borrow_mut().admit(&request);
  if down {
    return web::text(StatusCode::INTERNAL_SERVER_ERROR, "down");
  }
  if let Err(refusal) = admitted {
    return refuse(&refusal);
  }
  let result = match &request {
    StoreRequest::Watch { .. } => watch(&state, &request).await,
    _ => state.borrow_mut().call(&request),
  };
  if request.is_write() && state.borrow().faults.lose_answers > 0 {
    state.borrow_mut().faults.lose_answers -= 1;
    return web::text(StatusCode::INTERNAL_SERVER_ERROR, "the answer was lost");
  }
  match result {
    Ok(reply) => web::json(StatusCode::OK, &reply),
    Err(refusal) => refuse(&refusal),
  }
}

/// Waits until there is a change to report or the watch's wait is over.
async fn watch(
  state: &Rc<RefCell<State>>,
  request: &StoreRequest,
) -> std::result::Result<Reply, Refusal> {
  /// Milliseconds between checks for expired leases, whose end wakes watches.
  const EXPIRY_CHECK_MS: u64 = 100;
  let started = state.borrow().now();
  loop {
    let is_silent = state.borrow().faults.silent_watches;
    let reply = state.borrow_mut().call(request)?;
    let has_changes = matches!(&reply, Reply::Changes { events, .. } if !events.is_empty());
    let is_over = state.borrow().now().since_ms(started) >= request.wait_ms();
    if !is_silent && (has_changes || is_over) {
      return Ok(state.borrow_mut().apply_watch_faults(reply));
    }
    let (wake, woken) = futures_channel::oneshot::channel();
    state.borrow_mut().waiting.push(wake);
    monoio::time::timeout(Duration::from_millis(EXPIRY_CHECK_MS), woken).await.ok();
    state.borrow_mut().expire();
  }
}

fn refuse(refusal: &Refusal) -> Response<AnyBody> {
  web::json(StatusCode::CONFLICT, refusal)
}
