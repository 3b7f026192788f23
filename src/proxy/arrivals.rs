//! Asks the box of a try, over a new connection, whether the try arrived there: the connection on
//! which it was sent may be dead.

use super::*;

use super::{egress::invalid_seal, forward::read_peer_answer};

/// Largest answer in bytes that is retained, so that it can be sent again if it was lost in
/// transit.
const RETAINED_ANSWER_BYTES_MAX: usize = 16_384;

/// Timeout in milliseconds of a query about a try; see [`ReceivedAttempts::query`].
const QUERY_TIMEOUT_MS: u64 = 1_000;

/// A try received from another daemon. If it is dropped before it ends, its sender disconnected.
pub(super) struct ReceivedTry {
  key: Option<TryKey>,
  shared: Rc<Shared>,
}

impl ReceivedTry {
  /// Records a try that arrived. Returns `None` if it must not run because its sender was already
  /// answered that it never arrived.
  pub(super) fn record(shared: &Rc<Shared>, key: TryKey) -> Option<Self> {
    let may_run = shared.arrivals.borrow_mut().arrive(shared.now().time, key);
    may_run.then(|| Self { key: Some(key), shared: shared.clone() })
  }

  /// Retains a small answer to a request that may not run again, so that its sender can ask for it.
  /// Other requests are retried at another box instead.
  pub(super) async fn retain_answer(
    mut self,
    forwarded: &ForwardedRequest,
    response: Response<AnyBody>,
  ) -> Response<AnyBody> {
    let size = response.body().size_hint().exact();
    if forwarded.repeatable || size.is_none_or(|size| size > RETAINED_ANSWER_BYTES_MAX as u64) {
      return response.map(|body| body.with_guard(self));
    }
    let (head, body) = response.into_parts();
    match web::collect(body, RETAINED_ANSWER_BYTES_MAX).await {
      Ok(body) => {
        self.end(Some(Rc::new(StoredResponse::of(&head, &body))));
        Response::from_parts(head, web::full(body))
      }
      Err(err) => {
        let reason = format!("the answer broke off: {err}");
        Refusal::unknown(StatusCode::BAD_GATEWAY, reason).response(&forwarded.id, false)
      }
    }
  }

  fn end(&mut self, answer: Option<Rc<StoredResponse>>) {
    if let Some(key) = self.key.take() {
      self.shared.arrivals.borrow_mut().end(self.shared.now().time, key, answer);
    }
  }
}

impl Drop for ReceivedTry {
  fn drop(&mut self) {
    self.end(None);
  }
}

/// Text that a daemon seals with the fleet key when it asks about a try.
fn sealed_text(key: TryKey, age_ms: u64) -> String {
  format!("arrival {key} {age_ms}")
}

/// Answers another daemon's query about a try.
pub(super) fn answer(shared: &Shared, asked: &HeaderMap) -> Response<AnyBody> {
  let key = headers::parsed::<TryKey>(asked, headers::ARRIVAL);
  let age_ms = headers::parsed::<u64>(asked, headers::AGE_MS);
  let seal = headers::parsed::<Digest>(asked, headers::SEAL);
  let (Some(key), Some(age_ms), Some(seal)) = (key, age_ms, seal) else {
    return web::text(StatusCode::BAD_REQUEST, "a question for a try lacks a header");
  };
  if !shared.is_sealed(&sealed_text(key, age_ms), &seal) {
    return invalid_seal(shared).response(&shared.names.request_id(), false);
  }
  let found = shared.arrivals.borrow_mut().query(shared.now().time, key, age_ms);
  let status = status_name(&found);
  info!(
    shared.log.logger, #Log::REQUEST, "a daemon asked about a try";
    "try" => key.0, "age_ms" => age_ms, "found" => status
  );
  let mut response = match found {
    AttemptStatus::Answered(kept) => kept.response(),
    _ => web::text(StatusCode::OK, ""),
  };
  headers::set(response.headers_mut(), headers::ARRIVAL, status);
  response
}

/// Returns the value of the arrival header for the status of a try.
fn status_name<A>(found: &AttemptStatus<A>) -> &'static str {
  match found {
    AttemptStatus::Answered(_) => ANSWERED,
    AttemptStatus::Ended => ENDED,
    AttemptStatus::NeverArrived => NEVER_ARRIVED,
    AttemptStatus::Running => "running",
    AttemptStatus::Unknown => "unknown",
  }
}

const ANSWERED: &str = "answered";
const ENDED: &str = "ended";
const NEVER_ARRIVED: &str = "never-arrived";

/// Result of a query about a try.
pub(super) enum QueryResult {
  /// The try ended with this answer of its backend server, or this refusal of its daemon.
  Answered(AttemptResult),
  /// The try ended a while ago; its answer was sent and is not retained.
  Ended,
  /// The try has not run and never will.
  NeverArrived,
  /// The try may still run, or its status is unknown.
  StillPending,
}

/// Asks the box of a try whether the try, sent `age_ms` milliseconds ago, arrived there.
pub(super) async fn ask(
  shared: &Rc<Shared>,
  order: &TryOrder,
  key: TryKey,
  age_ms: u64,
) -> QueryResult {
  let asked_at = shared.now().time;
  let limit = Duration::from_millis(QUERY_TIMEOUT_MS);
  let query = exchange(shared, order, key, age_ms + QUERY_TIMEOUT_MS);
  let answered = timer::timeout(limit, query).await;
  // If this process was paused meanwhile, the answer may be older than the query allows.
  let is_late = shared.now().time.since_ms(asked_at) > QUERY_TIMEOUT_MS;
  let Some(mut response) = answered.ok().and_then(Result::ok).filter(|_| !is_late) else {
    return QueryResult::StillPending;
  };
  let status = response.headers_mut().remove(headers::ARRIVAL);
  match status.as_ref().and_then(|status| status.to_str().ok()) {
    Some(NEVER_ARRIVED) => {
      // Other idle connections may be dead too, and the next tries would be lost on them.
      shared.peer_pool.close_idle();
      QueryResult::NeverArrived
    }
    Some(ANSWERED) => {
      QueryResult::Answered(read_peer_answer(response, &mut PeerNotices::default()).await)
    }
    Some(ENDED) => QueryResult::Ended,
    _ => QueryResult::StillPending,
  }
}

async fn exchange(
  shared: &Rc<Shared>,
  order: &TryOrder,
  key: TryKey,
  age_ms: u64,
) -> web::Result<Response<ResponseBody>> {
  let address = order.endpoint.forward_address;
  let client = shared.peer_pool.connect_within(address, order.connect_ms).await?;
  let mut request = Request::new(web::empty());
  let headers = request.headers_mut();
  headers::set(headers, headers::AGE_MS, age_ms);
  headers::set(headers, headers::ARRIVAL, key);
  headers::set(headers, "host", address);
  headers::set(headers, headers::SEAL, shared.seal(&sealed_text(key, age_ms)));
  shared.peer_pool.send(client, request, None).await
}
