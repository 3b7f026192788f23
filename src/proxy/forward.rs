//! Carries out what [`Dispatch`] decides for a request: tries at backend servers, one after the other
//! or two beside each other.

use super::*;

/// Largest answer in bytes that is held until it is whole, where its request may run again: so one
/// that breaks off can be asked for elsewhere.
const HELD_ANSWER_MAX: usize = 65_536;

/// Milliseconds beyond the deadline for which an answer that is held may still come whole: what is ready is delivered
/// also where it is late, and a connection that went silent midway must not hold its caller up for longer.
const LATE_ANSWER_MS: u64 = 1_000;

/// Bytes of a body above which the next daemon is asked before the body is sent. The question costs a
/// round trip; a body that is sent in vain costs the link.
pub(super) const CONTINUE_BYTES: u64 = LinkBudget::LARGE_BYTES;

/// Bytes of the head of an answer between two daemons, as measured.
const ANSWER_HEAD_BYTES: u64 = 500;

/// Sends a request to backend servers of its service until one answers or none should be tried any
/// more. Notes every try in `attempts`.
pub async fn forward(
  shared: &Rc<Shared>,
  forwarded: &Forwarded,
  body: RequestBody,
  attempts: &mut Vec<Attempt>,
) -> AttemptResult {
  let mut dispatch = Dispatch::new(forwarded.terms(&body));
  let mut tries = Tries::default();
  let mut event = DispatchEvent::Started;
  loop {
    match decide(shared, &mut dispatch, &forwarded.service, event) {
      DispatchStep::Answer { id } => return tries.finish(id, attempts),
      DispatchStep::CheckArrival { id } => tries.ask(shared, id),
      DispatchStep::Refuse(outcome) => return Err(outcome),
      DispatchStep::Try(order) => tries.start(shared, forwarded, body.for_attempt(), *order),
      DispatchStep::Wait => {}
    }
    event = tries.next(shared, dispatch.wake_at(), &body, attempts).await;
  }
}

fn decide(
  shared: &Shared,
  dispatch: &mut Dispatch,
  service: &ServiceName,
  event: DispatchEvent,
) -> DispatchStep {
  let configuration = shared.configuration();
  let is_drained = |box_id: &BoxId| {
    configuration.as_ref().is_some_and(|configuration| configuration.drains.contains_key(box_id))
  };
  let mut around = DispatchContext {
    balancer: &mut shared.balancer.borrow_mut(),
    budget: &mut shared.retry_budget.borrow_mut(),
    candidates: &shared.endpoints_of(service),
    data_hall: &shared.settings.data_hall,
    evacuated: &shared.evacuated(),
    is_drained: &is_drained,
    now: shared.now().time,
    own_box: &shared.settings.box_id,
    rng: &mut shared.rng.borrow_mut(),
    traffic: &shared.traffic.borrow().of(service),
  };
  dispatch.handle(event, &mut around)
}

/// One try at one backend server, with what the balancer learns from it.
pub(super) async fn attempt(
  shared: &Rc<Shared>,
  forwarded: &Forwarded,
  body: RequestBody,
  order: &TryOrder,
  key: TryKey,
) -> AttemptResult {
  let box_id = order.endpoint.peer.box_id.clone();
  let under_way = UnderWay::start(shared, &box_id);
  let stopwatch = Stopwatch::start();
  let (answer, condition) = if box_id == shared.settings.box_id {
    let answer = egress::hand_over(shared, forwarded, body, Sender::Caller).await;
    (answer, Some(shared.own_condition()))
  } else {
    let mut condition = None;
    let client = shared.peer_pool.checkout_within(order.endpoint.forward_address, order.connect_ms);
    let client = match client.await {
      Ok(client) => client,
      Err(err) => return Err(unreachable(shared, &box_id, &err)),
    };
    let answer = send_to_peer(shared, forwarded, &body, client, key, &mut condition).await;
    (answer, condition)
  };
  let answer = match answer {
    Ok(response) if forwarded.repeatable => {
      let whole_ms = forwarded.deadline.since_ms(shared.now().time) + LATE_ANSWER_MS;
      hold_small(response, whole_ms).await
    }
    other => other,
  };
  let latency_us = stopwatch.read().map(|took| u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
  let completion = match &answer {
    Ok(_) => Completion::Served { condition, latency_us },
    Err(AttemptOutcome::NotRun { retry_after_ms, .. }) if *retry_after_ms > 0 => {
      Completion::Shed { condition }
    }
    Err(_) => Completion::Failed,
  };
  shared.balancer.borrow_mut().completed(shared.now().time, &box_id, completion);
  answer.map(|response| under_way.until_end_of(response))
}

/// Notes that a box cannot be reached.
fn unreachable(shared: &Shared, box_id: &BoxId, err: &web::Error) -> AttemptOutcome {
  let now = shared.now().time;
  shared.balancer.borrow_mut().completed(now, box_id, Completion::Unreachable);
  AttemptOutcome::not_run(err.to_string(), 0)
}

async fn send_to_peer(
  shared: &Rc<Shared>,
  forwarded: &Forwarded,
  body: &RequestBody,
  client: Client,
  key: TryKey,
  condition: &mut Option<Condition>,
) -> AttemptResult {
  let now = shared.now().time;
  let time_left_ms = forwarded.deadline.since_ms(now);
  let mut request = forwarded.request(body.for_try(), now);
  let body_size = request.body().size_hint().exact();
  let request_headers = request.headers_mut();
  let seal = shared.seal(&forwarded.sealed_text(key, time_left_ms));
  headers::set(request_headers, headers::ANSWER_BYTES, forwarded.answer_bytes);
  headers::set(request_headers, headers::CALLER_CLASS, &forwarded.class);
  headers::set(request_headers, headers::CALLER_SERVICE, &forwarded.caller_service);
  let urgency = forwarded.urgency;
  headers::set(request_headers, headers::DUE_MS, urgency.due.since_ms(now));
  headers::set(request_headers, headers::FINGERPRINT, forwarded.fingerprint);
  headers::set(request_headers, headers::INSISTS, forwarded.insists);
  if let Some(organisation) = &forwarded.organisation {
    headers::set(request_headers, headers::ORGANISATION, organisation);
  }
  headers::set(request_headers, headers::PATIENCE_MS, urgency.wait_until.since_ms(now));
  headers::set(request_headers, headers::PRIORITY, urgency.priority);
  headers::set(request_headers, headers::REPEATABLE, forwarded.repeatable);
  if let Some(route) = &forwarded.route {
    headers::set(request_headers, headers::ROUTE, route);
  }
  headers::set(request_headers, headers::SEAL, seal);
  headers::set(request_headers, headers::SERVICE, &forwarded.service);
  headers::set(request_headers, headers::TRY, key);
  headers::set(request_headers, headers::VERSION, forwarded.version);
  // The daemon there answers at the deadline; the grace lets that answer arrive.
  let left = Duration::from_millis(time_left_ms + Shared::PEER_GRACE_MS);
  if body_size.is_none_or(|size| size > CONTINUE_BYTES) {
    headers::set(request.headers_mut(), "expect", "100-continue");
  }
  let name = HeaderName::from_static(headers::REQUEST_ID);
  let value = request.headers().get(&name).cloned();
  let mark = value.map(|value| Mark { name, value });
  let sent = timer::timeout(left, shared.peer_pool.send(client, request, mark)).await;
  let Ok(sent) = sent else {
    let reason = "the box did not answer before the deadline".into();
    return Err(AttemptOutcome::Unknown { reason });
  };
  let response = sent.map_err(|err| failed("the box", &err))?;
  shared.note_inbound(ANSWER_HEAD_BYTES + response.body().size_hint().exact().unwrap_or_default());
  read_peer_answer(response, condition).await
}

/// What an answer of the daemon beside a backend server says, and how it says that one does.
pub(super) async fn read_peer_answer(
  response: Response<ResponseBody>,
  condition: &mut Option<Condition>,
) -> AttemptResult {
  let (mut head, body) = response.into_parts();
  *condition = headers::parsed(&head.headers, headers::CONDITION);
  head.headers.remove(headers::CONDITION);
  if let Some(outcome) = headers::text(&head.headers, headers::OUTCOME) {
    return Err(refused_by_peer(outcome, &head.headers, body).await);
  }
  Ok(Response::from_parts(head, AnyBody::streamed(body)))
}

/// What the daemon beside the backend server says about a request that it refused.
async fn refused_by_peer(outcome: &str, headers: &HeaderMap, body: ResponseBody) -> AttemptOutcome {
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

/// A try counted as under way at a backend server until it is dropped.
struct UnderWay {
  box_id: BoxId,
  shared: Rc<Shared>,
}

impl UnderWay {
  fn start(shared: &Rc<Shared>, box_id: &BoxId) -> Self {
    shared.balancer.borrow_mut().started(box_id);
    Self { box_id: box_id.clone(), shared: shared.clone() }
  }

  /// Keeps counting until the last byte of the answer.
  fn until_end_of(self, response: Response<AnyBody>) -> Response<AnyBody> {
    response.map(|body| body.keeping(self))
  }
}

impl Drop for UnderWay {
  fn drop(&mut self) {
    self.shared.balancer.borrow_mut().ended(&self.box_id);
  }
}

/// What a failed exchange means for the request.
pub(super) fn failed(peer: &str, err: &web::Error) -> AttemptOutcome {
  let reason = format!("{peer}: {err}");
  if err.is_unsent() {
    return AttemptOutcome::not_run(reason, 0);
  }
  AttemptOutcome::Unknown { reason }
}

/// Waits for the whole of a small answer, for `whole_ms`. One that breaks off tells as little as none.
async fn hold_small(response: Response<AnyBody>, whole_ms: u64) -> AttemptResult {
  let size = response.body().size_hint().exact();
  if size.is_none_or(|size| size > HELD_ANSWER_MAX as u64) {
    return Ok(response);
  }
  let (head, body) = response.into_parts();
  let collecting = web::collect(body, HELD_ANSWER_MAX);
  let reason = match timer::timeout(Duration::from_millis(whole_ms), collecting).await {
    Ok(Ok(body)) => return Ok(Response::from_parts(head, web::full(body))),
    Ok(Err(err)) => format!("the answer broke off: {err}"),
    Err(_) => "the answer went silent midway".into(),
  };
  Err(AttemptOutcome::Unknown { reason })
}
