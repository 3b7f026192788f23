use super::{trouble::Running, *};

/// A fake backend server that reports to the daemon on its box, drains, and records what it runs.
pub struct BackendServer {
  state: Rc<RefCell<State>>,
}

struct State {
  /// Where it sends its calls: the daemon's address for callers.
  callers: Option<SocketAddr>,
  control: SocketAddr,
  /// Number of crashes caused by a request or by [`BackendServer::lose_process`].
  crashes: u32,
  /// The proxy through which its connections come.
  front: FaultProxy,
  instance: String,
  /// Whether the process is down.
  is_down: bool,
  is_leaving: bool,
  /// Whether reports of the process are lost on the way.
  is_mute: bool,
  /// The requests a second that the server's answers to requests name as its limit.
  limit_per_s: Option<f64>,
  number: u32,
  record: Rc<RefCell<Record>>,
  rng: ChaCha8Rng,
  /// Number of requests that the process runs.
  running: Rc<Cell<u32>>,
  sequence: u64,
  service: String,
  /// Number of concurrent requests that the process reports.
  slots: u32,
  started: Instant,
  /// When the process started, in milliseconds since 1970. Strictly increases with each restart, also under the same
  /// id.
  started_unix_ms: u64,
  told: Told,
  trouble: Trouble,
  /// Requests that it never answered because of its trouble.
  unanswered: u32,
  /// The version of its software.
  version: String,
}

impl BackendServer {
  /// Milliseconds between two reports.
  const REPORT_MS: Ms = 500;
  /// Timeout in milliseconds for the acknowledgement of a report.
  const REPORT_TIMEOUT_MS: Ms = 1_000;
  /// Milliseconds for which a draining process continues to serve after the acknowledgement.
  const DRAIN_MS: Ms = 2_500;
  /// Milliseconds after which a draining process ends without an acknowledgement.
  const GIVE_UP_MS: Ms = 4_000;
  /// Maximum number of concurrent requests that the server reports.
  pub const SLOTS: u32 = 8;

  /// Milliseconds until a process that a request crashed restarts.
  const RESTART_MS: Ms = 1_200;

  /// Starts to serve behind the proxy `front`, and to report to `control`.
  pub fn start(
    listener: web::Listener,
    front: FaultProxy,
    control: SocketAddr,
    service: &str,
    name: &str,
    record: Rc<RefCell<Record>>,
    started: Instant,
  ) -> Self {
    let state = Rc::new(RefCell::new(State {
      callers: None,
      control,
      crashes: 0,
      front,
      instance: format!("i-{name}-0"),
      is_down: false,
      is_leaving: false,
      is_mute: false,
      limit_per_s: None,
      number: 0,
      record,
      rng: ChaCha8Rng::seed_from_u64(u64::from(Digest::of(name.as_bytes()).prefix())),
      running: Rc::default(),
      sequence: 0,
      service: service.into(),
      slots: Self::SLOTS,
      started,
      started_unix_ms: unix_ms(),
      told: Told::Missing,
      trouble: Trouble::default(),
      unanswered: 0,
      version: "v1".into(),
    }));
    let serving = state.clone();
    web::Server::start(listener, move |request| serve(serving.clone(), request));
    monoio::spawn(report(state.clone()));
    Self { state }
  }

  /// Drains the process, and replaces it by another one at the same address, under the same id or a new one.
  pub fn replace(&self, keeps_id: bool) {
    let state = self.state.clone();
    if state.borrow().is_down || std::mem::replace(&mut state.borrow_mut().is_leaving, true) {
      return;
    }
    let leaving = state.borrow().process();
    monoio::spawn(async move {
      let began = Instant::now();
      let is_over = || state.borrow().process() != leaving;
      let acknowledged = || is_over() || state.borrow().record.borrow().left.contains_key(&leaving);
      while !acknowledged() && began.elapsed() < Duration::from_millis(Self::GIVE_UP_MS) {
        send_report(&state).await;
        monoio::time::sleep(Duration::from_millis(100)).await;
      }
      monoio::time::sleep(Duration::from_millis(Self::DRAIN_MS)).await;
      if !is_over() {
        deregister(&state).await;
        state.borrow_mut().begin_process(keeps_id);
      }
    });
  }

  /// Crashes the process, and restarts it under the same id after `down_ms`. Leaves its connections to the caller of
  /// this method.
  pub async fn crash(&self, down_ms: Ms) {
    if std::mem::replace(&mut self.state.borrow_mut().is_down, true) {
      return;
    }
    monoio::time::sleep(Duration::from_millis(down_ms)).await;
    self.state.borrow_mut().begin_process(true);
  }

  /// Lets the process leave without a report: only its answers say so.
  pub fn leave_unreported(&self) {
    let mut state = self.state.borrow_mut();
    (state.is_leaving, state.is_mute) = (true, true);
  }

  /// Ends the process for good: its address refuses connections until [`Self::give_address_to`].
  pub fn end_for_good(&self) {
    let mut state = self.state.borrow_mut();
    state.is_down = true;
    state.front.refuse(true);
    state.front.reset();
  }

  /// Starts a process of another service at the address. It reports from [`Self::begin_reports`] on.
  pub fn give_address_to(&self, service: &str) {
    let mut state = self.state.borrow_mut();
    state.begin_process(false);
    state.service = service.into();
    state.is_mute = true;
    state.front.refuse(false);
  }

  /// Stops the reports of the process.
  pub fn pause_reports(&self) {
    self.state.borrow_mut().is_mute = true;
  }

  /// Sends a report of the process now, and continues to report.
  pub async fn begin_reports(&self) {
    self.state.borrow_mut().is_mute = false;
    send_report(&self.state).await;
  }

  /// Starts another process in the place of the current one, which ends.
  pub fn start_anew(&self) {
    self.state.borrow_mut().begin_process(false);
  }

  /// Sets the limit that the server's answers to requests name from now on, in requests a second.
  pub fn name_limit(&self, limit_per_s: Option<f64>) {
    self.state.borrow_mut().limit_per_s = limit_per_s;
  }

  /// Sets the address to which it sends calls for requests that ask for some.
  pub fn call_through(&self, callers: SocketAddr) {
    self.state.borrow_mut().callers = Some(callers);
  }

  /// Sets the number of concurrent requests that the process reports from now on.
  pub fn offer_slots(&self, slots: u32) {
    self.state.borrow_mut().slots = slots;
  }

  /// Gives the process another id, service and version of its software. Takes effect with its next report.
  pub fn rename(&self, instance: &str, service: &str, version: &str) {
    let mut state = self.state.borrow_mut();
    (state.instance, state.service) = (instance.into(), service.into());
    state.version = version.into();
  }

  /// Sets what it tells of its load and speed from now on, also in later processes.
  pub fn tell(&self, told: Told) {
    self.state.borrow_mut().told = told;
  }

  /// Sets what goes wrong from now on, also in later processes.
  pub fn set_trouble(&self, trouble: Trouble) {
    self.state.borrow_mut().trouble = trouble;
  }

  /// Returns the number of requests that it never answered because of its trouble.
  pub fn unanswered(&self) -> u32 {
    self.state.borrow().unanswered
  }

  /// Crashes the process for a reason unrelated to the requests that it runs.
  pub fn lose_process(&self) {
    let process = self.process();
    monoio::spawn(crash_under(self.state.clone(), process));
  }

  /// Sends a call to the daemon in the name of the process. Returns the status of the answer, or `None` without one.
  pub async fn call_daemon(&self, call: &str, body: &serde_json::Value) -> Option<StatusCode> {
    call_daemon(&self.state, call, body).await
  }

  /// Returns the current process as its id and start time.
  pub fn process(&self) -> String {
    self.state.borrow().process()
  }

  /// Returns the start time of the current process in milliseconds since 1970.
  pub fn started_unix_ms(&self) -> u64 {
    self.state.borrow().started_unix_ms
  }

  /// Returns the number of crashes caused by a request or by [`Self::lose_process`].
  pub fn crashes(&self) -> u32 {
    self.state.borrow().crashes
  }

  /// Returns the id of the current process.
  pub fn instance(&self) -> String {
    self.state.borrow().instance.clone()
  }
}

impl State {
  fn process(&self) -> String {
    format!("{}@{}", self.instance, self.started_unix_ms)
  }

  /// Returns what it tells of its load and speed now.
  fn load(&self) -> Option<String> {
    let answered = self.record.borrow().runs.len();
    self.told.figures(self.running.get(), self.trouble.slowness, answered)
  }

  /// Returns the record of a run that begins now. `header` returns the value of a header of its request.
  fn begin_run(&self, request_id: &str, header: impl Fn(&str) -> Option<String>) -> record::Run {
    record::Run {
      at_ms: elapsed_ms(self.started),
      caller: header(CALLER_SERVICE).unwrap_or_default(),
      ended_ms: None,
      has_key: header(KEY).is_some(),
      instance: self.process(),
      organisation: header(ORGANISATION),
      request_id: request_id.into(),
      service: self.service.clone(),
    }
  }

  /// Starts a new process without any state of the former one.
  fn begin_process(&mut self, keeps_id: bool) {
    if !keeps_id {
      self.number += 1;
      let stem = self.instance.rsplit_once('-').map_or("i", |(stem, _)| stem);
      self.instance = format!("{stem}-{}", self.number);
    }
    self.started_unix_ms = unix_ms().max(self.started_unix_ms + 1);
    (self.is_down, self.is_leaving, self.sequence) = (false, false, 0);
    (self.is_mute, self.limit_per_s) = (false, None);
  }
}

async fn report(state: Rc<RefCell<State>>) {
  loop {
    send_report(&state).await;
    monoio::time::sleep(Duration::from_millis(BackendServer::REPORT_MS)).await;
  }
}

/// Sends one report. Records when a daemon first acknowledges that the process drains.
async fn send_report(state: &Rc<RefCell<State>>) {
  if state.borrow().is_down || state.borrow().is_mute {
    return;
  }
  let (process, is_leaving, body) = {
    let mut state = state.borrow_mut();
    state.sequence += 1;
    let word = if state.is_leaving { "draining" } else { "ready" };
    let body = serde_json::json!({
      "Address": "127.0.0.1:1",
      "Info": {
        "Service": state.service, "Slots": state.slots, "Version": state.version, "Zone": "hall",
      },
      "Status": { "CallSeq": state.sequence, "ColdLeft": "0ms", "State": word },
      "born": state.started_unix_ms,
    });
    (state.process(), state.is_leaving, body)
  };
  let status = call_daemon(state, "heartbeat", &body).await;
  if is_leaving && status.is_some_and(|status| status.is_success()) {
    let state = state.borrow();
    let now = elapsed_ms(state.started);
    state.record.borrow_mut().left.entry(process).or_insert(now);
  }
}

/// Tells the daemon that the process ends.
async fn deregister(state: &Rc<RefCell<State>>) {
  let body = serde_json::json!({ "born": state.borrow().started_unix_ms });
  call_daemon(state, "deregister", &body).await;
}

async fn call_daemon(
  state: &Rc<RefCell<State>>,
  call: &str,
  body: &serde_json::Value,
) -> Option<StatusCode> {
  let (control, instance) = (state.borrow().control, state.borrow().instance.clone());
  let segment = instance.bytes().map(|byte| match byte {
    b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' => char::from(byte).into(),
    other => format!("%{other:02X}"),
  });
  let segment = segment.collect::<String>();
  let request = Request::post(format!("/ferryyoke/instances/{segment}/{call}"))
    .header(http::header::HOST, control.to_string())
    .body(web::full(body.to_string()))
    .expect("the head is constant");
  let pool = Rc::new(web::Pool::new(BackendServer::REPORT_TIMEOUT_MS));
  let exchange = pool.exchange(control, request, 4_096);
  let limit = Duration::from_millis(BackendServer::REPORT_TIMEOUT_MS);
  let answered = monoio::time::timeout(limit, exchange).await;
  answered.ok()?.ok().map(|(status, _)| status)
}

/// The header with the key that authenticates a caller's organisation.
pub const KEY: &str = "authorization";

/// The header that names the caller's organisation to a backend server.
pub const ORGANISATION: &str = "x-tenant-id";

/// The header with the milliseconds that the backend server takes to run the request.
pub const WORK_MS: &str = "x-soak-work-ms";

/// The header with the minimum size of the answer in bytes.
pub const ANSWER_BYTES: &str = "x-soak-answer-bytes";

/// The header with the size of the chunks in which the answer comes, without a length.
pub const ANSWER_CHUNK_BYTES: &str = "x-soak-answer-chunk-bytes";

/// The header with the number of calls to the other service that the run makes, one after the other.
pub const CALLS: &str = "x-soak-calls";

/// The header with the service of the box where the request began.
const CALLER_SERVICE: &str = "x-caller-service";

/// The header with the load and speed of a backend server.
const LOAD: &str = "x-server-load";

/// The header of a crashing request: the milliseconds after which it ends the process that runs it.
pub const CRASH_MS: &str = "x-soak-crash-ms";

/// Crashes a process: resets its connections, refuses new ones, and starts the next process after
/// [`BackendServer::RESTART_MS`].
async fn crash_under(state: Rc<RefCell<State>>, process: String) {
  let front = {
    let mut state = state.borrow_mut();
    if state.is_down || state.process() != process {
      return;
    }
    state.is_down = true;
    state.crashes += 1;
    state.front.clone()
  };
  front.refuse(true);
  front.reset();
  monoio::time::sleep(Duration::from_millis(BackendServer::RESTART_MS)).await;
  state.borrow_mut().begin_process(false);
  front.refuse(false);
}

/// Returns a body in chunks of `chunk_bytes`, without a length.
fn in_chunks(body: bytes::Bytes, chunk_bytes: usize) -> AnyBody {
  let starts = (0..body.len()).step_by(chunk_bytes.max(1));
  let frames = starts.map(move |start| {
    let end = body.len().min(start + chunk_bytes.max(1));
    Ok::<_, std::convert::Infallible>(http_body::Frame::data(body.slice(start..end)))
  });
  AnyBody::streamed(http_body_util::StreamBody::new(futures_util::stream::iter(frames)))
}

async fn serve(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<AnyBody> {
  if state.borrow().is_down {
    return std::future::pending().await;
  }
  let instance = state.borrow().instance.clone();
  let with_instance = |mut response: Response<AnyBody>| {
    if let Ok(value) = http::HeaderValue::from_bytes(instance.as_bytes()) {
      response.headers_mut().insert("x-instance-id", value);
    }
    if let Some(value) = state.borrow().load().and_then(|load| load.parse().ok()) {
      response.headers_mut().insert(LOAD, value);
    }
    response
  };
  if request.uri().path() == "/health" {
    let is_well = !state.borrow().is_leaving;
    let status = if is_well { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    return with_instance(web::text(status, ""));
  }
  let header = |name: &str| {
    let value = request.headers().get(name).map(|value| value.as_bytes().to_vec());
    value.and_then(|value| String::from_utf8(value).ok())
  };
  if header("x-expect-instance").is_some_and(|expected| expected != instance) {
    return with_instance(web::text(StatusCode::MISDIRECTED_REQUEST, "another process"));
  }
  let request_id = header(REQUEST_ID).unwrap_or_default();
  let (trouble, running) = (state.borrow().trouble, state.borrow().running.clone());
  if running.get() >= trouble.hangs_above {
    state.borrow_mut().unanswered += 1;
    return std::future::pending().await;
  }
  let _running = {
    let state = state.borrow();
    let run = state.begin_run(&request_id, header);
    Running::begin(&running, &state.record, state.started, run)
  };
  let work_ms = {
    let mut state = state.borrow_mut();
    let told_ms = header(WORK_MS).and_then(|value| value.parse().ok());
    told_ms.unwrap_or_else(|| state.rng.random_range(2..60))
  };
  let answer_bytes = header(ANSWER_BYTES).and_then(|value| value.parse().ok()).unwrap_or(0);
  let chunk_bytes = header(ANSWER_CHUNK_BYTES).and_then(|value| value.parse().ok());
  let crash_ms = header(CRASH_MS).and_then(|value| value.parse().ok());
  let calls = header(CALLS).and_then(|value| value.parse().ok()).unwrap_or(0);
  let left_ms = header(TIME_LEFT_MS).and_then(|value| value.parse().ok()).unwrap_or(0);
  let began = Instant::now();
  let Ok(body) = web::collect(request.into_body(), 4 << 20).await else {
    return web::text(StatusCode::BAD_REQUEST, "the body ended early");
  };
  if let Some(crash_ms) = crash_ms {
    let process = state.borrow().process();
    monoio::time::sleep(Duration::from_millis(crash_ms)).await;
    // Spawned, because the crash ends this connection and so cancels this future.
    monoio::spawn(crash_under(state, process));
    return std::future::pending().await;
  }
  monoio::time::sleep(Duration::from_millis(work_ms * trouble.slowness)).await;
  for number in 0..calls {
    let left_ms = Ms::saturating_sub(left_ms, elapsed_ms(began));
    if !call(&state, &format!("{request_id}-c{number}"), left_ms).await {
      return with_instance(web::text(StatusCode::INTERNAL_SERVER_ERROR, "a call failed"));
    }
  }
  let (is_mute, resets) = {
    let rng = &mut state.borrow_mut().rng;
    (rng.random_bool(trouble.mute_share), rng.random_bool(trouble.reset_share))
  };
  if resets {
    // Spawned, because the reset ends this connection and so cancels this future.
    let front = state.borrow().front.clone();
    monoio::spawn(async move { front.reset() });
  }
  if is_mute || resets {
    state.borrow_mut().unanswered += 1;
    return std::future::pending().await;
  }
  let mut answer = caller::expected_answer(&request_id, &body);
  if answer.len() < answer_bytes {
    answer.push_str(&" ".repeat(answer_bytes - answer.len()));
  }
  let mut response = match chunk_bytes {
    Some(chunk_bytes) => Response::new(in_chunks(answer.into(), chunk_bytes)),
    None => web::text(StatusCode::OK, answer),
  };
  let headers = response.headers_mut();
  if let Ok(value) = request_id.parse() {
    headers.insert(REQUEST_ID, value);
  }
  if let Some(value) = state.borrow().load().and_then(|load| load.parse().ok()) {
    headers.insert(LOAD, value);
  }
  if state.borrow().is_leaving {
    headers.insert("server-leaving", http::HeaderValue::from_static("1"));
  }
  if let Some(limit) = state.borrow().limit_per_s.and_then(|limit| limit.to_string().parse().ok()) {
    headers.insert("server-limit", limit);
  }
  headers.insert("x-response-seal", http::HeaderValue::from_static("soak"));
  response
}

/// Calls the other service. Returns whether the call was answered.
async fn call(state: &Rc<RefCell<State>>, id: &str, left_ms: Ms) -> bool {
  let Some(callers) = state.borrow().callers else {
    return false;
  };
  let request = Request::get(format!("{}{id}", configuration::CALL_PATH))
    .header(http::header::HOST, "soak.example")
    .header(REQUEST_ID, id)
    .header(TIME_LEFT_MS, left_ms)
    .body(web::empty())
    .expect("the head is constant");
  let pool = Rc::new(web::Pool::new(left_ms.max(1)));
  let exchange = pool.exchange(callers, request, 4_096);
  let answered = monoio::time::timeout(Duration::from_millis(left_ms), exchange).await;
  matches!(answered, Ok(Ok((StatusCode::OK, _))))
}

pub(super) fn elapsed_ms(started: Instant) -> Ms {
  u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
