use super::*;

/// A stand-in backend server that reports to the daemon beside it, drains, and notes what it runs.
pub struct BackendServer {
  state: Rc<RefCell<State>>,
}

struct State {
  control: SocketAddr,
  instance: String,
  is_leaving: bool,
  number: u32,
  record: Rc<RefCell<Record>>,
  rng: ChaCha8Rng,
  sequence: u64,
  service: String,
  started: Instant,
}

impl BackendServer {
  /// Milliseconds between two reports.
  const REPORT_MS: Ms = 500;
  /// Milliseconds for which a report waits for its acknowledgement.
  const REPORT_TIMEOUT_MS: Ms = 1_000;
  /// Milliseconds for which a process that leaves serves on after its acknowledgement.
  const DRAIN_MS: Ms = 2_500;
  /// Milliseconds after which a process ends although nobody acknowledged its leaving.
  const GIVE_UP_MS: Ms = 4_000;
  /// Requests that run at once.
  pub const SLOTS: u32 = 8;

  /// Starts to serve, and to report to `control`.
  pub fn start(
    listener: web::Listener,
    control: SocketAddr,
    service: &str,
    name: &str,
    record: Rc<RefCell<Record>>,
    started: Instant,
  ) -> Self {
    let state = Rc::new(RefCell::new(State {
      control,
      instance: format!("i-{name}-0"),
      is_leaving: false,
      number: 0,
      record,
      rng: ChaCha8Rng::seed_from_u64(u64::from(Digest::of(name.as_bytes()).prefix())),
      sequence: 0,
      service: service.into(),
      started,
    }));
    let serving = state.clone();
    web::Server::start(listener, move |request| serve(serving.clone(), request));
    monoio::spawn(report(state.clone()));
    Self { state }
  }

  /// The process leaves, and another one takes its place at the same address.
  pub fn replace(&self) {
    let state = self.state.clone();
    if std::mem::replace(&mut state.borrow_mut().is_leaving, true) {
      return;
    }
    let leaving = state.borrow().instance.clone();
    monoio::spawn(async move {
      let began = Instant::now();
      let acknowledged = || state.borrow().record.borrow().left.contains_key(&leaving);
      while !acknowledged() && began.elapsed() < Duration::from_millis(Self::GIVE_UP_MS) {
        tell(&state).await;
        monoio::time::sleep(Duration::from_millis(100)).await;
      }
      monoio::time::sleep(Duration::from_millis(Self::DRAIN_MS)).await;
      let mut state = state.borrow_mut();
      state.number += 1;
      let stem = leaving.rsplit_once('-').map_or(leaving.as_str(), |(stem, _)| stem);
      state.instance = format!("{stem}-{}", state.number);
      state.is_leaving = false;
      state.sequence = 0;
    });
  }
}

async fn report(state: Rc<RefCell<State>>) {
  loop {
    tell(&state).await;
    monoio::time::sleep(Duration::from_millis(BackendServer::REPORT_MS)).await;
  }
}

/// Reports once. An acknowledged leaving binds from the moment of the acknowledgement.
async fn tell(state: &Rc<RefCell<State>>) {
  let (control, instance, is_leaving, body) = {
    let mut state = state.borrow_mut();
    state.sequence += 1;
    let word = if state.is_leaving { "draining" } else { "ready" };
    let body = serde_json::json!({
      "Address": "127.0.0.1:1",
      "Info": {
        "Service": state.service, "Slots": BackendServer::SLOTS, "Version": "v1", "Zone": "hall",
      },
      "Status": { "CallSeq": state.sequence, "ColdLeft": "0ms", "State": word },
    });
    (state.control, state.instance.clone(), state.is_leaving, body.to_string())
  };
  let request = Request::post(format!("/ferryyoke/instances/{instance}/heartbeat"))
    .header(http::header::HOST, control.to_string())
    .body(web::full(body))
    .expect("a fixed head");
  let pool = Rc::new(web::Pool::new(BackendServer::REPORT_TIMEOUT_MS));
  let exchange = pool.exchange(control, request, 4_096);
  let limit = Duration::from_millis(BackendServer::REPORT_TIMEOUT_MS);
  let answered = monoio::time::timeout(limit, exchange).await;
  if is_leaving && matches!(answered, Ok(Ok((status, _))) if status.is_success()) {
    let state = state.borrow();
    let now = elapsed_ms(state.started);
    state.record.borrow_mut().left.entry(instance).or_insert(now);
  }
}

/// The header by which a request tells for how many milliseconds it is worked on.
pub const WORK_MS: &str = "x-soak-work-ms";

async fn serve(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<AnyBody> {
  let instance = state.borrow().instance.clone();
  let with_instance = |mut response: Response<AnyBody>| {
    if let Ok(value) = instance.parse() {
      response.headers_mut().insert("x-instance-id", value);
    }
    response
  };
  if request.uri().path() == "/health" {
    let is_well = !state.borrow().is_leaving;
    let status = if is_well { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    return with_instance(web::text(status, ""));
  }
  let header = |name: &str| {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.map(ToString::to_string)
  };
  if header("x-expect-instance").is_some_and(|expected| expected != instance) {
    return with_instance(web::text(StatusCode::MISDIRECTED_REQUEST, "another process"));
  }
  let request_id = header(REQUEST_ID).unwrap_or_default();
  let work_ms = {
    let mut state = state.borrow_mut();
    let run =
      record::Run { at_ms: elapsed_ms(state.started), instance, request_id: request_id.clone() };
    state.record.borrow_mut().runs.push(run);
    let told_ms = header(WORK_MS).and_then(|value| value.parse().ok());
    told_ms.unwrap_or_else(|| state.rng.random_range(2..60))
  };
  let Ok(body) = web::collect(request.into_body(), 4 << 20).await else {
    return web::text(StatusCode::BAD_REQUEST, "the body broke off");
  };
  monoio::time::sleep(Duration::from_millis(work_ms)).await;
  let mut response = web::text(StatusCode::OK, caller::expected_answer(&request_id, &body));
  let headers = response.headers_mut();
  if let Ok(value) = request_id.parse() {
    headers.insert(REQUEST_ID, value);
  }
  headers.insert("x-response-seal", http::HeaderValue::from_static("soak"));
  response
}

fn elapsed_ms(started: Instant) -> Ms {
  u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
