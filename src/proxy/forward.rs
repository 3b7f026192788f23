//! Choosing a backend server, trying it, and trying another one where that is safe.

use super::*;

/// Milliseconds after which a caller comes back where no backend server is there.
const NO_BACKEND_RETRY_MS: u64 = 1_000;

/// Boxes that are tried for one request, those included that pass it to no backend server. A bound
/// on the work that a full service can cause.
const TRIES_MAX: usize = 7;

/// Boxes that are asked whether they can run a request at once, before it waits for a slot of one of
/// them. With half of the boxes full, fifteen of sixteen requests find a free slot by then.
const ASKED_MAX: usize = 4;

/// Boxes at which a request may not wait, for too many do already, before it is refused: the next one
/// is likely to be as full.
const FULL_MAX: usize = 4;

/// The part of the time until its answer is due for which a try goes on alone. A request that takes long
/// takes long anywhere, so a second try before that gains nothing (measured); after that the answer is
/// likely lost.
const HEDGE_PART: f64 = 1.2;

/// Largest answer in bytes that is held until it is whole, where its request may run again: so one
/// that breaks off can be asked for elsewhere.
const HELD_ANSWER_MAX: usize = 65_536;

/// Bytes of a body above which the next daemon is asked before the body is sent. The question costs a
/// round trip; a body that is sent in vain costs the link.
const CONTINUE_BYTES: u64 = 16_384;

/// Sends a request to backend servers of its service until one answers or none should be tried any
/// more. Notes every try in `attempts`.
pub async fn forward(
  shared: &Rc<Shared>,
  forwarded: &Forwarded,
  body: RequestBody,
  attempts: &mut Vec<Attempt>,
) -> AttemptResult {
  let mut failure = None;
  let mut full = 0;
  let stakes = stakes(shared, forwarded, &body);
  shared.budget.borrow_mut().earn(&forwarded.service);
  loop {
    let (forwarded, choice) = choose(shared, forwarded, &stakes, attempts);
    let forwarded = &forwarded;
    let Some(first) = Try::start(shared, forwarded, body.for_attempt(), choice) else {
      return failure.unwrap_or_else(|| Err(none_left(forwarded, attempts)));
    };
    let ended = match hedge_after(shared, forwarded, &body) {
      Some(patience) => run_hedged(shared, forwarded, &body, attempts, first, patience).await,
      None => first.await,
    };
    let (outcome, known) = note(ended, attempts);
    let arrived = attempts.iter().filter(|attempt| attempt.outcome.arrived()).count();
    full += usize::from(forwarded.insists && known.is_declined());
    let is_late = known.is_declined() && shared.now().time >= forwarded.urgency.patience;
    let is_last = arrived >= forwarded.attempts_max as usize
      || attempts.len() >= TRIES_MAX
      || full >= FULL_MAX
      || is_late
      || !body.is_left();
    if is_last || !may_retry(shared, forwarded, &known) {
      return outcome;
    }
    // Where nobody else answers, what a backend server said of its failure is the answer.
    failure = Some(outcome).filter(Result::is_ok).or(failure);
  }
}

/// Notes a try that ended.
fn note(ended: EndedTry, attempts: &mut Vec<Attempt>) -> (AttemptResult, AttemptOutcome) {
  let known = ended.attempt.outcome.clone();
  attempts.push(ended.attempt);
  (ended.result, known)
}

/// How long the first try of a request that may run twice goes on alone; nothing where no second one
/// may follow.
fn hedge_after(shared: &Shared, forwarded: &Forwarded, body: &RequestBody) -> Option<Duration> {
  let may_run_twice = forwarded.repeatable && forwarded.attempts_max > 1 && body.is_left();
  if !may_run_twice || !shared.budget.borrow().has_spare(&forwarded.service) {
    return None;
  }
  let due_ms = forwarded.urgency.due.since_ms(shared.now().time);
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  let patience_ms = (due_ms as f64 * HEDGE_PART) as u64;
  (patience_ms > 0).then(|| Duration::from_millis(patience_ms))
}

/// Runs a try, and a second one at another box where the first takes long and that box has room. The
/// first answer wins, and the other try is dropped.
async fn run_hedged(
  shared: &Rc<Shared>,
  forwarded: &Forwarded,
  body: &RequestBody,
  attempts: &mut Vec<Attempt>,
  mut first: Try,
  patience: Duration,
) -> EndedTry {
  let alone = monoio::time::timeout(patience, &mut first).await;
  if let Ok(ended) = alone {
    return ended;
  }
  let stakes = stakes(shared, forwarded, body);
  let mut tried: Vec<&BoxId> = attempts.iter().map(|attempt| &attempt.box_id).collect();
  tried.push(first.box_id());
  let choice = choose_but(shared, forwarded, &stakes, &tried);
  let has_room = choice.chosen.as_ref().is_some_and(|endpoint| {
    let now = shared.now().time;
    shared.balancer.borrow().has_room(now, &endpoint.peer.box_id)
  });
  if !has_room || !shared.budget.borrow_mut().spend_spare(&forwarded.service) {
    return first.await;
  }
  let Some(second) = Try::start(shared, forwarded, body.for_attempt(), choice) else {
    return first.await;
  };
  match futures_util::future::select(first, second).await {
    futures_util::future::Either::Left((ended, other))
    | futures_util::future::Either::Right((ended, other)) => {
      if ended.result.is_ok() {
        attempts.push(other.dropped());
        return ended;
      }
      let (_, _) = note(ended, attempts);
      other.await
    }
  }
}

/// A try may be followed by another one where the request did not run, or may run again; within the
/// service's budget and the deadline.
fn may_retry(shared: &Shared, forwarded: &Forwarded, outcome: &AttemptOutcome) -> bool {
  let failed = StatusCode::INTERNAL_SERVER_ERROR.as_u16();
  let safe = match outcome {
    AttemptOutcome::Answered { status } => forwarded.retry_failures && *status == failed,
    AttemptOutcome::NotRun { .. } => true,
    AttemptOutcome::Unknown { .. } => forwarded.repeatable,
  };
  safe
    && shared.now().time < forwarded.deadline
    // Where no backend server saw the request, the next try is the first one.
    && (!outcome.arrived() || shared.budget.borrow_mut().spend(&forwarded.service))
}

fn none_left(forwarded: &Forwarded, attempts: &[Attempt]) -> AttemptOutcome {
  if let Some(last) = attempts.last() {
    return last.outcome.clone();
  }
  let reason = format!("no backend server of {} takes work", forwarded.service);
  AttemptOutcome::not_run(reason, NO_BACKEND_RETRY_MS)
}

fn stakes(shared: &Shared, forwarded: &Forwarded, body: &RequestBody) -> Stakes {
  Stakes {
    body_bytes: body.known_bytes(),
    due_ms: forwarded.urgency.due.since_ms(shared.now().time),
    repeatable: forwarded.repeatable,
  }
}

/// The next box: first some that may have room are asked whether they can run the request at once,
/// then it waits at one of those that declined, or at another one.
fn choose(
  shared: &Shared,
  forwarded: &Forwarded,
  stakes: &Stakes,
  attempts: &[Attempt],
) -> (Forwarded, Choice) {
  let boxes = |keep: &dyn Fn(&Attempt) -> bool| -> Vec<&BoxId> {
    attempts.iter().filter(|attempt| keep(attempt)).map(|attempt| &attempt.box_id).collect()
  };
  let asked = attempts.iter().filter(|attempt| attempt.outcome.is_declined()).count();
  if asked < ASKED_MAX {
    let choice = choose_but(shared, forwarded, stakes, &boxes(&|_| true));
    let is_only = choice.verdicts.iter().filter(|(_, verdict)| verdict.is_usable()).count() <= 1;
    if choice.chosen.is_some() && !choice.is_full && !(is_only && attempts.is_empty()) {
      return (forwarded.insisting(false), choice);
    }
  }
  // A box that declined to let a request wait is not asked a third time.
  let refused = boxes(&|one| {
    let declined = attempts.iter().filter(|other| other.box_id == one.box_id);
    !one.outcome.is_declined() || declined.count() > 1
  });
  (forwarded.insisting(true), choose_but(shared, forwarded, stakes, &refused))
}

fn choose_but(shared: &Shared, forwarded: &Forwarded, stakes: &Stakes, tried: &[&BoxId]) -> Choice {
  let configuration = shared.configuration();
  let unusable = |endpoint: &Endpoint| {
    let box_id = &endpoint.peer.box_id;
    if tried.contains(&box_id) {
      return Some(Verdict::Tried);
    }
    if endpoint.state.is_gone() {
      return Some(Verdict::Gone);
    }
    let drained = configuration.as_ref().is_some_and(|one| one.drains.contains_key(box_id));
    (drained || endpoint.state == EndpointState::Draining).then_some(Verdict::Draining)
  };
  let endpoints = shared.endpoints_of(&forwarded.service);
  let candidates: Vec<&Endpoint> = endpoints.iter().collect();
  let now = shared.now().time;
  shared.balancer.borrow_mut().choose(
    now,
    &candidates,
    &shared.settings.data_hall,
    stakes,
    unusable,
    &mut shared.rng.borrow_mut(),
  )
}

/// One try at one backend server, with what the balancer learns from it.
pub(super) async fn attempt(
  shared: &Rc<Shared>,
  forwarded: &Forwarded,
  body: RequestBody,
  endpoint: &Endpoint,
) -> AttemptResult {
  let box_id = endpoint.peer.box_id.clone();
  let under_way = UnderWay::start(shared, &box_id);
  let started_us = shared.elapsed_us();
  let (answer, condition) = if box_id == shared.settings.box_id {
    let answer = egress::hand_over(shared, forwarded, body).await;
    (answer, Some(shared.condition()))
  } else {
    let mut condition = None;
    let answer = send_to_peer(shared, forwarded, &body, endpoint, &mut condition).await;
    (answer, condition)
  };
  let answer = match answer {
    Ok(response) if forwarded.repeatable => hold_small(response).await,
    other => other,
  };
  let completion = match &answer {
    Ok(_) => Completion::Served { condition, latency_us: shared.elapsed_us() - started_us },
    Err(AttemptOutcome::NotRun { retry_after_ms, .. }) if *retry_after_ms > 0 => {
      Completion::Shed { condition }
    }
    Err(_) => Completion::Failed,
  };
  shared.balancer.borrow_mut().completed(shared.now().time, &box_id, completion);
  answer.map(|response| under_way.until_end_of(response))
}

async fn send_to_peer(
  shared: &Rc<Shared>,
  forwarded: &Forwarded,
  body: &RequestBody,
  endpoint: &Endpoint,
  condition: &mut Option<Condition>,
) -> AttemptResult {
  let address = endpoint.forward_address;
  let client = shared.peer_pool.checkout(address).await;
  // Zero tells the balancer that the box could not be reached.
  let client = client.map_err(|err| AttemptOutcome::not_run(err.to_string(), 0))?;
  let now = shared.now().time;
  let time_left_ms = forwarded.deadline.since_ms(now);
  let mut request = forwarded.request(body.for_try(), now);
  let body_size = request.body().size_hint().exact();
  let request_headers = request.headers_mut();
  let seal = shared.seal(&forwarded.sealed_text(time_left_ms));
  headers::set(request_headers, headers::CALLER_CLASS, &forwarded.class);
  headers::set(request_headers, headers::CALLER_SERVICE, &forwarded.caller_service);
  let urgency = forwarded.urgency;
  headers::set(request_headers, headers::DUE_MS, urgency.due.since_ms(now));
  headers::set(request_headers, headers::INSISTS, forwarded.insists);
  headers::set(request_headers, headers::PATIENCE_MS, urgency.patience.since_ms(now));
  headers::set(request_headers, headers::PRIORITY, urgency.priority);
  headers::set(request_headers, headers::REPEATABLE, forwarded.repeatable);
  headers::set(request_headers, headers::SEAL, seal);
  headers::set(request_headers, headers::SERVICE, &forwarded.service);
  headers::set(request_headers, headers::VERSION, forwarded.version);
  // The daemon there answers at the deadline; the grace lets that answer arrive.
  let left = Duration::from_millis(time_left_ms + Shared::PEER_GRACE_MS);
  if body_size.is_none_or(|size| size > CONTINUE_BYTES) {
    headers::set(request.headers_mut(), "expect", "100-continue");
  }
  let name = HeaderName::from_static(headers::REQUEST_ID);
  let value = request.headers().get(&name).cloned();
  let mark = value.map(|value| Mark { name, value });
  let sent = monoio::time::timeout(left, shared.peer_pool.send(client, request, mark)).await;
  let Ok(sent) = sent else {
    let reason = "the box did not answer before the deadline".into();
    return Err(AttemptOutcome::Unknown { reason });
  };
  let response = sent.map_err(|err| failed("the box", &err))?;
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

/// Waits for the whole of a small answer. One that breaks off tells as little as none.
async fn hold_small(response: Response<AnyBody>) -> AttemptResult {
  let size = response.body().size_hint().exact();
  if size.is_none_or(|size| size > HELD_ANSWER_MAX as u64) {
    return Ok(response);
  }
  let (head, body) = response.into_parts();
  match web::collect(body, HELD_ANSWER_MAX).await {
    Ok(body) => Ok(Response::from_parts(head, web::full(body))),
    Err(err) => Err(AttemptOutcome::Unknown { reason: format!("the answer broke off: {err}") }),
  }
}
