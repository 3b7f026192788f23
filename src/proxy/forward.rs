//! Executes the decisions of [`Dispatch`] for a request: tries at backend servers, one after
//! another or two at once.

use super::*;

/// Largest answer in bytes to a repeatable request that is buffered until it is complete, so that
/// the request can be retried at another box if the answer is cut off.
const BUFFERED_ANSWER_BYTES_MAX: usize = 65_536;

/// Milliseconds past the deadline within which a buffered answer may still complete: an answer that
/// is ready is delivered even if late, but a connection that went silent midway must not delay the
/// caller for longer.
const LATE_ANSWER_MS: u64 = 1_000;

/// Size in bytes above which a body is sent with `expect: 100-continue`. Waiting for `100 Continue`
/// costs a round trip; a large body that is refused after it was sent wastes the network link.
pub(super) const EXPECT_CONTINUE_BYTES: u64 = LinkBudget::LARGE_BYTES;

/// Typical size in bytes of the head of an answer between two daemons.
pub(super) const ANSWER_HEAD_BYTES: u64 = 500;

/// Sends a request to backend servers of its service until one answers or no further try should be
/// made. Records every try in `attempts`.
pub async fn forward(
  shared: &Rc<Shared>,
  forwarded: &ForwardedRequest,
  body: RequestBody,
  attempts: &mut Vec<Attempt>,
) -> AttemptResult {
  if let Some(passed) = shared.running_requests.borrow_mut().call_credit(&forwarded.id) {
    shared.retry_budget.borrow_mut().earn_passed(&forwarded.service, passed);
  }
  let calls_done = shared.running_requests.borrow().calls_done(&forwarded.id);
  let retry_weight = RetryWeight::of(forwarded.urgency.is_call, calls_done);
  let dispatch = Dispatch::new(forwarded.profile(&body));
  let mut dispatch = dispatch.with_calls(retry_weight, forwarded.calls.clone());
  let mut tries = Tries::default();
  let mut event = DispatchEvent::Started;
  loop {
    match decide(shared, &mut dispatch, forwarded, event) {
      DispatchStep::Answer { id } => {
        note_ended(shared, forwarded, false);
        planned_return::note_served(shared, forwarded);
        return tries.finish(id, attempts);
      }
      DispatchStep::CheckArrival { id } => tries.ask(shared, id),
      DispatchStep::Refuse(outcome) => {
        note_ended(shared, forwarded, lacks_slots(shared, &forwarded.service, &outcome, attempts));
        return Err(planned_return::adjust(shared, forwarded, outcome));
      }
      DispatchStep::Try(order) => tries.start(shared, forwarded, body.share(), *order),
      DispatchStep::Wait => {}
    }
    event = tries.next(shared, dispatch.wake_at(), &body, attempts).await;
  }
}

/// Whether the last backend server that refused a request has no free slot. Others refuse because of
/// their box's links, or because they are cold.
fn lacks_slots(
  shared: &Shared,
  service: &ServiceName,
  outcome: &AttemptOutcome,
  attempts: &[Attempt],
) -> bool {
  let (now, rooms) = (shared.now().time, shared.rooms.borrow());
  outcome.is_declined()
    && attempts.last().is_some_and(|last| rooms.is_full(now, service, &last.box_id))
}

/// Records whether a request of a service found room.
fn note_ended(shared: &Shared, forwarded: &ForwardedRequest, is_refused: bool) {
  let (now, rank) = (shared.now().time, forwarded.admitted_rank);
  shared.rooms.borrow_mut().note_ended(now, &forwarded.service, rank, is_refused);
}

fn decide(
  shared: &Shared,
  dispatch: &mut Dispatch,
  forwarded: &ForwardedRequest,
  event: DispatchEvent,
) -> DispatchStep {
  let (service, now) = (&forwarded.service, shared.now().time);
  let configuration = shared.configuration();
  let is_drained = |box_id: &BoxId| {
    configuration.as_ref().is_some_and(|configuration| configuration.drains.contains_key(box_id))
  };
  let mut context = DispatchContext {
    balancer: &mut shared.balancer.borrow_mut(),
    budget: &mut shared.retry_budget.borrow_mut(),
    candidates: &shared.endpoints_of(service),
    data_hall: &shared.settings.data_hall,
    evacuated: &shared.evacuated(),
    is_drained: &is_drained,
    now,
    own_box: &shared.settings.box_id,
    room: shared.rooms.borrow().forecast(now, service, forwarded.urgency.priority),
    rng: &mut shared.rng.borrow_mut(),
    traffic: &shared.traffic.borrow().of(service),
  };
  dispatch.handle(event, &mut context)
}

/// Makes one try at one backend server and reports its result to the balancer.
pub(super) async fn attempt(
  shared: &Rc<Shared>,
  forwarded: &ForwardedRequest,
  body: RequestBody,
  order: &TryOrder,
  key: TryKey,
) -> AttemptResult {
  let box_id = order.endpoint.peer.box_id.clone();
  let in_flight = InFlightTry::start(shared, &box_id);
  let stopwatch = Stopwatch::start();
  let (answer, condition) = if box_id == shared.settings.box_id {
    let answer = egress::run_at_backend(shared, forwarded, body, Sender::Caller).await;
    (answer, Some(shared.own_condition()))
  } else {
    let mut notices = PeerNotices::default();
    let client = shared.peer_pool.checkout_within(order.endpoint.forward_address, order.connect_ms);
    let client = match client.await {
      Ok(client) => client,
      Err(err @ web::Error::NoRoom { .. }) => {
        return Err(AttemptOutcome::not_run(err.to_string(), Shared::RETRY_AFTER_MS));
      }
      Err(err) => return Err(unreachable(shared, &box_id, &err)),
    };
    let limit = shared.heard_limits.borrow().of(shared.now().time, &box_id).cloned();
    let answer = send_to_peer(shared, forwarded, &body, client, key, limit, &mut notices).await;
    if answer.is_ok() || notices.limit.is_some() {
      let now = shared.now().time;
      shared.heard_limits.borrow_mut().answered(now, &box_id, notices.limit);
    }
    (answer, notices.condition)
  };
  let answer = match answer {
    Ok(response) if forwarded.repeatable => {
      let whole_ms = forwarded.deadline.since_ms(shared.now().time) + LATE_ANSWER_MS;
      buffer_small_answer(response, whole_ms).await
    }
    other => other,
  };
  if let Some(condition) = condition {
    let is_refusal = answer.as_ref().is_err_and(AttemptOutcome::is_declined);
    let now = shared.now().time;
    shared.rooms.borrow_mut().note_report(now, &order.endpoint, condition, is_refusal);
  }
  let latency_us = stopwatch.read().map(|took| u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
  let completion = match &answer {
    Ok(_) => Completion::Served { condition, latency_us },
    Err(AttemptOutcome::NotRun { retry_after_ms, .. }) if *retry_after_ms > 0 => {
      Completion::Shed { condition }
    }
    Err(_) => Completion::Failed,
  };
  shared.balancer.borrow_mut().completed(shared.now().time, &box_id, completion);
  answer.map(|response| in_flight.until_end_of(response))
}

/// Reports to the balancer that a box is unreachable.
fn unreachable(shared: &Shared, box_id: &BoxId, err: &web::Error) -> AttemptOutcome {
  let now = shared.now().time;
  shared.balancer.borrow_mut().completed(now, box_id, Completion::Unreachable);
  AttemptOutcome::not_run(err.to_string(), 0)
}

async fn send_to_peer(
  shared: &Rc<Shared>,
  forwarded: &ForwardedRequest,
  body: &RequestBody,
  client: Client,
  key: TryKey,
  limit: Option<LimitHint>,
  notices: &mut PeerNotices,
) -> AttemptResult {
  let now = shared.now().time;
  let time_left_ms = forwarded.deadline.since_ms(now);
  let mut request = forwarded.request(body.for_try()?, now);
  let body_size = request.body().size_hint().exact();
  let request_headers = request.headers_mut();
  let seal = shared.seal(&forwarded.sealed_text(key, time_left_ms));
  headers::set(request_headers, headers::ANSWER_BYTES, forwarded.answer_bytes);
  if let Some(limit) = limit {
    headers::set(request_headers, headers::BACKEND_LIMIT, limit);
  }
  if !forwarded.call_credit.is_empty() {
    headers::set(request_headers, headers::CALL_CREDIT, &forwarded.call_credit);
  }
  headers::set(request_headers, headers::CALLER_CLASS, &forwarded.class);
  headers::set_name(request_headers, headers::CALLER_SERVICE, &forwarded.caller_service);
  let urgency = forwarded.urgency;
  headers::set(request_headers, headers::DUE_MS, urgency.due.since_ms(now));
  if urgency.elapsed_ms > 0 {
    headers::set(request_headers, headers::ELAPSED_MS, urgency.elapsed_ms);
  }
  if let Some(estimate) = forwarded.estimate {
    headers::set(request_headers, headers::ESTIMATE, estimate);
  }
  headers::set(request_headers, headers::FINGERPRINT, forwarded.fingerprint);
  headers::set(request_headers, headers::INSISTS, forwarded.may_queue);
  if urgency.is_call {
    headers::set(request_headers, headers::IS_CALL, true);
  }
  if let Some(organisation) = &forwarded.organisation {
    headers::set_name(request_headers, headers::ORGANISATION, organisation);
  }
  headers::set(request_headers, headers::PATIENCE_MS, urgency.wait_until.since_ms(now));
  headers::set(request_headers, headers::PRIORITY, urgency.priority);
  headers::set(request_headers, headers::REPEATABLE, forwarded.repeatable);
  if let Some(route) = &forwarded.route {
    headers::set(request_headers, headers::ROUTE, route.short());
  }
  headers::set(request_headers, headers::SEAL, seal);
  headers::set_name(request_headers, headers::SERVICE, &forwarded.service);
  headers::set(request_headers, headers::TRY, key);
  headers::set(request_headers, headers::VERSION, forwarded.version);
  // The daemon of the box answers at the deadline at the latest; the grace lets that answer arrive.
  let left = Duration::from_millis(time_left_ms + Shared::PEER_GRACE_MS);
  if body_size.is_none_or(|size| size > EXPECT_CONTINUE_BYTES) {
    headers::set(request.headers_mut(), "expect", "100-continue");
  }
  let name = HeaderName::from_static(headers::REQUEST_ID);
  let value = request.headers().get(&name).cloned();
  let mark = value.map(|value| CorrelationHeader { name, value });
  let sent = timer::timeout(left, shared.peer_pool.send(client, request, mark)).await;
  let Ok(sent) = sent else {
    let reason = "the box did not answer before the deadline".into();
    return Err(AttemptOutcome::Unknown { reason });
  };
  let response = sent.map_err(|err| failed("the box", &err))?;
  shared.note_inbound(ANSWER_HEAD_BYTES + response.body().size_hint().exact().unwrap_or_default());
  let answer = read_peer_answer(response, notices).await?;
  let left_ms = forwarded.deadline.since_ms(shared.now().time);
  // The box gives up a silent backend server's answer; what it has may wait for its link.
  Ok(answer.map(|body| TimelyBody::bound(body, left_ms, LATE_ANSWER_MS)))
}

/// Reads the answer of the daemon beside a backend server, and stores what it tells of that in
/// `notices`.
pub(super) async fn read_peer_answer(
  response: Response<ResponseBody>,
  notices: &mut PeerNotices,
) -> AttemptResult {
  let (mut head, body) = response.into_parts();
  *notices = PeerNotices::take(&mut head.headers);
  RunWork::take(&mut head);
  if let Some(outcome) = headers::text(&head.headers, headers::OUTCOME) {
    return Err(read_refusal(outcome, &head.headers, body).await);
  }
  Ok(Response::from_parts(head, AnyBody::streamed(body)))
}

/// Reads the refusal of the daemon beside a backend server.
async fn read_refusal(outcome: &str, headers: &HeaderMap, body: ResponseBody) -> AttemptOutcome {
  const BODY_BYTES_MAX: usize = 16_384;
  let not_run = outcome == "not-run";
  let retry_after_ms = headers::parsed(headers, headers::RETRY_AFTER_MS).unwrap_or(1);
  let body = web::collect(body, BODY_BYTES_MAX).await.unwrap_or_default();
  let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
  let reason = value["reason"].as_str().unwrap_or("the box gave no reason").to_string();
  if not_run {
    let arrived = headers.contains_key(headers::ARRIVED);
    let declined = headers.contains_key(headers::DECLINED);
    return AttemptOutcome::NotRun { arrived, declined, reason, retry_after_ms };
  }
  AttemptOutcome::Unknown { reason }
}

/// Counts a try as in flight at a backend server until dropped.
struct InFlightTry {
  box_id: BoxId,
  shared: Rc<Shared>,
}

impl InFlightTry {
  fn start(shared: &Rc<Shared>, box_id: &BoxId) -> Self {
    shared.balancer.borrow_mut().started(box_id);
    Self { box_id: box_id.clone(), shared: shared.clone() }
  }

  /// Keeps the try counted until the answer is fully sent.
  fn until_end_of(self, response: Response<AnyBody>) -> Response<AnyBody> {
    response.map(|body| body.with_guard(self))
  }
}

impl Drop for InFlightTry {
  fn drop(&mut self) {
    self.shared.balancer.borrow_mut().ended(&self.box_id);
  }
}

/// Returns the outcome of a request whose exchange with `peer` failed.
pub(super) fn failed(peer: &str, err: &web::Error) -> AttemptOutcome {
  let reason = format!("{peer}: {err}");
  if err.is_unsent() {
    return AttemptOutcome::not_run(reason, 0);
  }
  AttemptOutcome::Unknown { reason }
}

/// Buffers a small answer, for at most `whole_ms` milliseconds. An incomplete answer counts as no
/// answer.
async fn buffer_small_answer(response: Response<AnyBody>, whole_ms: u64) -> AttemptResult {
  let size = response.body().size_hint().exact();
  if size.is_none_or(|size| size > BUFFERED_ANSWER_BYTES_MAX as u64) {
    return Ok(response);
  }
  let (head, body) = response.into_parts();
  let collecting = web::collect(body, BUFFERED_ANSWER_BYTES_MAX);
  let reason = match timer::timeout(Duration::from_millis(whole_ms), collecting).await {
    Ok(Ok(body)) => return Ok(Response::from_parts(head, web::full(body))),
    Ok(Err(err)) => format!("the answer broke off: {err}"),
    Err(_) => "the answer went silent midway".into(),
  };
  Err(AttemptOutcome::Unknown { reason })
}
