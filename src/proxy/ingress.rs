//! Handles a caller's request from its arrival to its answer.

use super::*;

/// Largest body in bytes of a request that may run at most once.
const CLAIMED_BODY_BYTES_MAX: usize = 1 << 20;

/// Retry delay in milliseconds that a daemon without a configuration sends to callers.
const UNCONFIGURED_RETRY_MS: u64 = 1_000;

/// Retry delay in milliseconds for a request whose route or key a newer version may contain: most
/// of a fleet has a version this soon after its first box.
pub(super) const NEWER_VERSION_RETRY_MS: u64 = 500;

/// Retry delay in milliseconds for a request whose body this box had no room for.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Default timeout of a request in milliseconds, if no policy sets one.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Milliseconds that the final answer is sent ahead of the caller's own deadline, so that it
/// arrives in time.
const ANSWER_TRANSIT_MS: u64 = 25;

/// Serves a caller's request.
pub async fn serve_caller(shared: Rc<Shared>, request: Request<Incoming>) -> Response<AnyBody> {
  shared.check_for_pause();
  let (head, body) = request.into_parts();
  let incoming = IncomingRequest::read(&shared, &head);
  let id = incoming.id.clone();
  let exchange = ExchangeGuard::begin(&shared, Sender::Caller, &id);
  let origin = head.extensions.get::<ClientLocation>().copied();
  let mut recorder = Recorder::start(&shared, &incoming, &head);
  let outcome = handle(&shared, &mut recorder, incoming, head, body).await;
  let mut response = outcome.unwrap_or_else(|refusal| {
    recorder.record.refusal = Some(format!("{}: {}", refusal.outcome(), refusal.reason));
    note_told(&shared, &recorder, &refusal);
    refusal.response(&id, shared.header_names.retry_after_fractions)
  });
  let transfer = SlotTransfer::of(&response);
  learn_calls(&shared, &recorder, &id, &mut response);
  let version = recorder.record.version;
  let own_headers = response.headers_mut();
  headers::set_name(own_headers, headers::REQUEST_ID, &id);
  headers::set(own_headers, headers::VERSION, version);
  if shared.is_stopping() {
    headers::set(own_headers, "connection", "close");
  }
  if !response.status().is_success() {
    shared.running_requests.borrow_mut().record_failed_call(&id);
  }
  let due = recorder.due;
  recorder.finish(response.status());
  if origin == Some(ClientLocation::Remote) {
    charge_answer_budget(&shared, &response);
    response = PacedBody::pace(&shared, &id, due, response);
  }
  exchange.deliver(response, transfer)
}

async fn handle(
  shared: &Rc<Shared>,
  recorder: &mut Recorder,
  incoming: IncomingRequest,
  head: http::request::Parts,
  body: Incoming,
) -> std::result::Result<Response<AnyBody>, Refusal> {
  let origin = head.extensions.get::<ClientLocation>().copied();
  let matched = find_route(shared, &incoming, &head)?;
  let member = organisation_admission::identify(shared, &matched, &head.headers)?;
  let member = member.as_deref();
  let organisation = member.map(|member| member.organisation.clone());
  if let Some(organisation) = &organisation {
    recorder.record.class = CallerClass::of(organisation);
  }
  let service = choose_service(shared, &matched);
  recorder.record.route = Some((matched.route.clone(), service.clone()));
  let policy = shared.policy(&service);
  let handling = &matched.handling;
  let time_left_ms = time_left_ms(&incoming, handling, policy.as_ref());
  let method = head.method.clone();
  let is_claimed = !matched.repeatable && !handling.sent_once && !method.is_safe();
  let policy_attempts = policy.map_or(1, |policy| policy.attempts);
  let now = shared.now().time;
  let deadline = shared.answer_deadline(now.after(time_left_ms)).ok_or_else(too_late)?;
  let elapsed_ms = incoming
    .time_left_ms
    .map_or(0, |left_ms| shared.caller_timeouts.borrow_mut().note(&matched.route, left_ms));
  let rank = member.and_then(|member| member.priority).unwrap_or(handling.priority);
  let is_call = shared.running_requests.borrow().is_call(&incoming.id);
  let body = buffer_body(body, is_claimed, time_left_ms).await?;
  let class = recorder.record.class.clone();
  let head = forwarded_head(shared, head, &incoming, &class);
  let fingerprint = head.fingerprint(&class, &body);
  let only_box = check_quarantine(shared, fingerprint, &service)?;
  let lane = shared.traffic.borrow_mut().next_lane(&service, &mut shared.rng.borrow_mut());
  let is_watched = shared.traffic.borrow().of(&service).order_revision.is_some();
  let parent_deadline = shared.running_requests.borrow().parent_deadline(&incoming.id);
  let parent_due = shared.running_requests.borrow().parent_due(&incoming.id);
  let kind = RouteKind::of(&service, handling);
  let estimate = shared.run_times.borrow().estimate(&matched.route, &kind);
  let urgency = Urgency::of(now, deadline, handling, rank, is_call, elapsed_ms).within_parent(
    deadline,
    parent_deadline,
    estimate.map_or(0, RunEstimate::mean_ms_rounded),
  );
  let urgency = urgency.due_with_parent(parent_due);
  recorder.due = urgency.due;
  recorder.deadline = deadline;
  let mut forwarded = ForwardedRequest {
    admitted_rank: None,
    answer_bytes: shared.answer_sizes.borrow().expected_bytes(&matched.route),
    attempts_max: handling.attempts.unwrap_or(policy_attempts),
    call_credit: CallCredit::default(),
    calls: shared.call_trees.borrow().calls_of(&matched.route),
    caller_service: shared.present_service(),
    class,
    deadline,
    estimate,
    fingerprint,
    head,
    id: incoming.id.clone(),
    known_limit: None,
    may_queue: true,
    lane,
    only_box,
    organisation,
    regions: allowed_regions(handling, member),
    repeatable: matched.repeatable && method.is_idempotent(),
    route: is_watched.then(|| matched.route.clone()),
    service,
    retry_failures: handling.retry_failures,
    urgency,
    version: recorder.record.version,
  };
  // A request with a claim may have run before: only its claim tells.
  if !is_claimed {
    recorder.fingerprint = early_return::check(shared, &forwarded)?;
    early_return::check_class(shared, &forwarded)?;
  }
  if !is_claimed && origin == Some(ClientLocation::Remote) {
    answer_reservation::check_caller(shared, &forwarded.id, &matched.route, urgency.due)?;
  }
  let admitted = AdmittedRequest::admit(shared, member).await?;
  if is_claimed {
    admitted.spend_token();
    planned_return::note_first_try(shared, &forwarded);
    let answer = handle_claimed(shared, recorder, incoming, forwarded, body).await?;
    RunWork::learn(shared, &matched.route, &kind, &answer);
    return Ok(answer);
  }
  // What is beyond a rate limit does not count as demand for the service's room.
  entry::check(shared, &matched.route, &mut forwarded)?;
  let answer = forward::forward(shared, &forwarded, body, &mut recorder.record.attempts).await;
  if let Ok(answer) = &answer {
    record_answer_size(shared, &matched.route, answer);
    RunWork::learn(shared, &matched.route, &kind, answer);
  }
  if answer.as_ref().map_or_else(AttemptOutcome::arrived, |_| true) {
    admitted.spend_token();
  }
  answer.map_err(Refusal::from)
}

/// Remembers when a refused caller was told to come back.
fn note_told(shared: &Shared, recorder: &Recorder, refusal: &Refusal) {
  let now = shared.now().time;
  let (Some(fingerprint), Some(retry_after_ms)) = (recorder.fingerprint, refusal.retry_after_ms)
  else {
    return;
  };
  if refusal.status == StatusCode::SERVICE_UNAVAILABLE {
    let left_ms = recorder.deadline.since_ms(now);
    shared.early_returns.borrow_mut().told(now, fingerprint, retry_after_ms, left_ms);
  }
}

/// Learns from an answer which calls its run made. If the request is itself a call of a running
/// one, records it there.
fn learn_calls(
  shared: &Shared,
  recorder: &Recorder,
  id: &RequestId,
  response: &mut Response<AnyBody>,
) {
  let calls = headers::parsed::<RunCalls>(response.headers(), headers::CALLS);
  response.headers_mut().remove(headers::CALLS);
  let Some((route, service)) = &recorder.record.route else {
    return;
  };
  if let Some(calls) = calls {
    let run_failed = response.status().is_server_error();
    shared.call_trees.borrow_mut().record(shared.now().time, route, &calls, run_failed);
  }
  let (now_us, failed) = (shared.elapsed_us(), RunCalls::is_failure(response.status()));
  let took_us = now_us.saturating_sub(recorder.arrived_us);
  shared.running_requests.borrow_mut().record_call(now_us, id, service, took_us, failed);
}

/// Refuses a request that arrives too shortly before the end of the planned stop of this box.
pub(super) fn too_late() -> Refusal {
  let reason = "this box stops before an answer could be there";
  Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, Shared::RETRY_AFTER_MS)
}

/// Returns the timeout of a request in milliseconds: the shorter of what its caller waits and what
/// the route or policy allows.
fn time_left_ms(incoming: &IncomingRequest, handling: &Handling, policy: Option<&Policy>) -> u64 {
  let policy_ms = policy.map_or(DEFAULT_TIMEOUT_MS, |policy| policy.deadline_ms);
  let held_max_ms = handling.timeout_ms.unwrap_or(policy_ms);
  let caller_ms =
    incoming.time_left_ms.map_or(held_max_ms, |left_ms| left_ms - left_ms.min(ANSWER_TRANSIT_MS));
  caller_ms.min(held_max_ms)
}

/// Buffers the body, or as much of it as can be held. Its caller has to send that within the request's time.
async fn buffer_body(
  body: Incoming,
  is_claimed: bool,
  time_left_ms: u64,
) -> std::result::Result<RequestBody, Refusal> {
  let taking = async {
    if is_claimed {
      RequestBody::buffer(body, CLAIMED_BODY_BYTES_MAX).await
    } else {
      RequestBody::take(body).await
    }
  };
  let taken = timer::timeout(Duration::from_millis(time_left_ms), taking).await;
  let taken = taken.unwrap_or_else(|_| {
    Err(web::Error::TimedOut { reason: "the body did not come in the request's time".into() })
  });
  taken.map_err(|err| broken_body(&err))
}

/// Charges an answer that crosses the box's network link to its caller against the answer budget,
/// so that the box accepts fewer requests from other boxes.
fn charge_answer_budget(shared: &Shared, answer: &Response<AnyBody>) {
  let bytes = answer.body().size_hint().exact().unwrap_or_default();
  if let Some(budget) = shared.answer_budget.borrow_mut().as_mut() {
    budget.count_unreserved(shared.now().time, bytes);
  }
}

/// Records the size of an answer, which the selection of backend servers for its route uses.
fn record_answer_size(shared: &Shared, route: &RouteName, answer: &Response<AnyBody>) {
  let size = answer.body().size_hint().exact().filter(|_| answer.status().is_success());
  if let Some(bytes) = size {
    shared.answer_sizes.borrow_mut().note(route, bytes);
  }
}

fn find_route(
  shared: &Shared,
  incoming: &IncomingRequest,
  head: &http::request::Parts,
) -> std::result::Result<RouteMatch, Refusal> {
  if shared.configuration().is_none() {
    let reason = format!("this box has {}", shared.unconfigured_reason());
    let retry_after_ms = UNCONFIGURED_RETRY_MS;
    return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms));
  }
  if incoming.depth >= IncomingRequest::DEPTH_MAX {
    let reason = format!(
      "the request is {} calls deep, which looks like a loop: see the routes that it passed",
      incoming.depth
    );
    return Err(Refusal::permanent(StatusCode::LOOP_DETECTED, reason));
  }
  let path = head.uri.path();
  let router = shared.router();
  let matched = router.find(&head.method, incoming.host.as_deref(), path, &head.headers);
  matched.ok_or_else(|| match router.omitted(incoming.host.as_deref(), path) {
    Some(omission) => omitted_route(router.version(), omission),
    None => unknown_route(shared, router.version(), &head.method, path),
  })
}

/// Refuses a request whose route is left out of the configuration. It has not run, and the next
/// version may have the route.
fn omitted_route(version: Version, omission: &Omission) -> Refusal {
  let reason = format!("in version {version}, {omission}");
  Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, UNCONFIGURED_RETRY_MS)
}

/// Refuses a request that matches no route in force. If a newer version may contain its route, the
/// caller is not at fault: the request has not run, and the caller is asked to retry.
fn unknown_route(shared: &Shared, version: Version, method: &Method, path: &str) -> Refusal {
  let reason = format!("no route of version {version} takes {method} {path}");
  match shared.newer_version() {
    None => Refusal::permanent(StatusCode::NOT_FOUND, reason),
    Some(newer) => {
      let reason = format!("{reason}, and version {newer} is not in force here yet");
      Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, NEWER_VERSION_RETRY_MS)
    }
  }
}

/// Returns the service of the route, or the next one of its traffic split.
fn choose_service(shared: &Shared, matched: &RouteMatch) -> ServiceName {
  let split = &matched.handling.split;
  let mut rng = shared.rng.borrow_mut();
  let dealt = shared.splitter.borrow_mut().next(&matched.route, split, &mut rng);
  dealt.unwrap_or_else(|| matched.service.clone())
}

/// Refuses a quarantined request. If the request is on trial, returns the only box that may run it.
fn check_quarantine(
  shared: &Shared,
  fingerprint: Fingerprint,
  service: &ServiceName,
) -> std::result::Result<Option<BoxId>, Refusal> {
  let status = shared.quarantine.borrow().status(shared.now().time, fingerprint);
  match status {
    QuarantineStatus::Allowed => Ok(None),
    QuarantineStatus::Held { crashes, retry_after_ms } => {
      shared.metrics.requests_held_back.inc();
      Err(Refusal::from(run_guard::held_back(fingerprint, crashes, retry_after_ms)))
    }
    QuarantineStatus::OnTrial => Ok(run_guard::trial_box(shared, fingerprint, service)),
  }
}

/// Returns the regions that both the route and the caller's organisation allow, or `None` if every
/// region is allowed.
fn allowed_regions(
  handling: &Handling,
  member: Option<&CallerOrganisation>,
) -> Option<BTreeSet<Region>> {
  let of_member = member.map(|member| &member.regions);
  let bounds = [Some(&handling.regions), of_member].into_iter().flatten();
  let bounds = bounds.filter(|regions| !regions.is_empty()).cloned();
  bounds.reduce(|one, other| one.intersection(&other).cloned().collect())
}

/// Returns the request head that the backend server receives.
fn forwarded_head(
  shared: &Shared,
  head: http::request::Parts,
  incoming: &IncomingRequest,
  class: &CallerClass,
) -> forwarded_request::ForwardedHead {
  let mut passed = head.headers;
  headers::remove_connection_headers(&mut passed);
  headers::remove_mesh_headers(&mut passed);
  if shared.key_ring().is_needed() {
    headers::remove_credentials(&mut passed, shared.header_names.organisation.as_ref());
  }
  headers::set(&mut passed, headers::CALLER_CLASS, class);
  headers::set(&mut passed, headers::DEPTH, incoming.depth + 1);
  if let Some(host) = incoming.host.as_ref().filter(|_| !passed.contains_key("host")) {
    headers::set(&mut passed, "host", host);
  }
  let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
  let target = path.parse().unwrap_or_default();
  forwarded_request::ForwardedHead { headers: passed, method: head.method, target }
}

fn broken_body(err: &web::Error) -> Refusal {
  match err {
    web::Error::TooLarge { .. } => {
      Refusal::permanent(StatusCode::PAYLOAD_TOO_LARGE, err.to_string())
    }
    web::Error::NoRoom { .. } => {
      let retry_after_ms = NO_ROOM_RETRY_MS;
      Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err.to_string(), retry_after_ms)
    }
    web::Error::TimedOut { .. } => Refusal::permanent(StatusCode::REQUEST_TIMEOUT, err.to_string()),
    _ => Refusal::permanent(StatusCode::BAD_REQUEST, err.to_string()),
  }
}

/// Handles a request that may run at most once. Once its key is claimed, it runs to its end even if
/// the caller disconnects, so that its result is recorded.
async fn handle_claimed(
  shared: &Rc<Shared>,
  recorder: &mut Recorder,
  incoming: IncomingRequest,
  forwarded: ForwardedRequest,
  body: RequestBody,
) -> std::result::Result<Response<AnyBody>, Refusal> {
  let key = claim_key(&incoming)?;
  let RequestBody::Buffered(body) = body else {
    return Err(Refusal::permanent(StatusCode::BAD_REQUEST, "the body was not held"));
  };
  let head = &forwarded.head;
  let content = [format!("{} {}\n", head.method, head.target).as_bytes(), &body[..]].concat();
  let ticket = ClaimTicket {
    attempt: shared.names.attempt_id(),
    content: Digest::of(&content),
    key,
    service: forwarded.service.clone(),
  };
  let (done, result) = futures_channel::oneshot::channel();
  let shared = shared.clone();
  monoio::spawn(async move {
    let mut attempts = Vec::new();
    let outcome = claimed_run::run(&shared, forwarded, ticket, body, &mut attempts).await;
    done.send((outcome, attempts)).ok();
  });
  let Ok((outcome, attempts)) = result.await else {
    return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "the run ended without a result"));
  };
  recorder.record.attempts = attempts;
  recorder.record.claim = Some(outcome.claim);
  outcome.answer
}

fn claim_key(incoming: &IncomingRequest) -> std::result::Result<RequestKey, Refusal> {
  let Some(key) = &incoming.key else {
    let reason = format!("the route runs requests at most once: give a key in `{}`", headers::KEY);
    return Err(Refusal::permanent(StatusCode::BAD_REQUEST, reason));
  };
  key.parse().map_err(|err: crate::values::Error| {
    Refusal::permanent(StatusCode::BAD_REQUEST, format!("`{}`: {err}", headers::KEY))
  })
}

/// Writes the record of a request when dropped, also if the caller disconnects before the answer.
struct Recorder {
  arrived_us: u64,
  /// When its answer is due at the latest.
  deadline: Time,
  /// When its answer should be there.
  due: Time,
  /// Identifies the request when its caller sends it again; `None` where a refusal is not
  /// remembered.
  fingerprint: Option<Fingerprint>,
  is_finished: bool,
  record: RequestRecord,
  shared: Rc<Shared>,
}

impl Recorder {
  fn start(shared: &Rc<Shared>, incoming: &IncomingRequest, head: &http::request::Parts) -> Self {
    let record = RequestRecord {
      attempts: Vec::new(),
      box_id: shared.settings.box_id.clone(),
      claim: None,
      class: incoming.class.clone(),
      id: incoming.id.clone(),
      line: RequestRecord::line_of(&head.method, &head.uri),
      refusal: None,
      route: None,
      status: 0,
      took_us: 0,
      unix_ms: shared.now().unix_ms,
      version: shared.router().version(),
    };
    let arrived_us = shared.elapsed_us();
    let deadline = shared.now().time;
    let (due, shared) = (deadline, shared.clone());
    Self { arrived_us, deadline, due, fingerprint: None, is_finished: false, record, shared }
  }

  fn finish(mut self, status: StatusCode) {
    self.record.status = status.as_u16();
    self.is_finished = true;
  }
}

impl Drop for Recorder {
  fn drop(&mut self) {
    if !self.is_finished {
      self.record.refusal = Some("the caller went away before the answer".into());
    }
    let took_us = self.shared.elapsed_us().saturating_sub(self.arrived_us);
    self.record.took_us = took_us;
    let service = self.record.route.as_ref().map_or("none", |(_, service)| service.as_str());
    let outcome = match &self.record.refusal {
      Some(refusal) => refusal.split(':').next().unwrap_or("refused"),
      None => "answered",
    };
    let outcome = if self.is_finished { outcome } else { "caller-gone" };
    let class = self.record.class.as_str();
    self.shared.metrics.record_request(
      service,
      class,
      outcome,
      Duration::from_micros(took_us).as_secs_f64(),
    );
    self.shared.log_request(&self.record);
    self.shared.records.borrow_mut().add(self.record.clone());
  }
}
