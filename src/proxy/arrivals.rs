//! Asking the box of a try, over a fresh connection, whether the try arrived there: the connection that it was
//! sent on may have gone silent.

use super::*;

use super::{egress::not_of_this_fleet, forward::read_peer_answer};

/// Largest answer in bytes that is kept, so that it can be given again where it was lost on the way back.
const KEPT_BYTES_MAX: usize = 16_384;

/// Milliseconds within which a box must say what it knows of a try; see [`ReceivedAttempts::query`].
const ASK_TIMEOUT_MS: u64 = 1_000;

/// A try that came from another daemon. Where it is dropped before its end, its sender went away.
pub(super) struct ArrivedTry {
  key: Option<TryKey>,
  shared: Rc<Shared>,
}

impl ArrivedTry {
  /// Notes a try that arrived; nothing where it must not run, for its sender was told so.
  pub(super) fn note(shared: &Rc<Shared>, key: TryKey) -> Option<Self> {
    let may_run = shared.arrivals.borrow_mut().arrive(shared.now().time, key);
    may_run.then(|| Self { key: Some(key), shared: shared.clone() })
  }

  /// Keeps a small answer to a request that may not run again, so that its sender can ask for it. Others are
  /// asked for elsewhere.
  pub(super) async fn keep(
    mut self,
    forwarded: &Forwarded,
    response: Response<AnyBody>,
  ) -> Response<AnyBody> {
    let size = response.body().size_hint().exact();
    if forwarded.repeatable || size.is_none_or(|size| size > KEPT_BYTES_MAX as u64) {
      return response.map(|body| body.with_guard(self));
    }
    let (head, body) = response.into_parts();
    match web::collect(body, KEPT_BYTES_MAX).await {
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

impl Drop for ArrivedTry {
  fn drop(&mut self) {
    self.end(None);
  }
}

/// What another daemon proves with the fleet key when it asks for a try.
fn sealed_text(key: TryKey, age_ms: u64) -> String {
  format!("arrival {key} {age_ms}")
}

/// Tells another daemon what is known of a try.
pub(super) fn answer(shared: &Shared, asked: &HeaderMap) -> Response<AnyBody> {
  let key = headers::parsed::<TryKey>(asked, headers::ARRIVAL);
  let age_ms = headers::parsed::<u64>(asked, headers::AGE_MS);
  let seal = headers::parsed::<Digest>(asked, headers::SEAL);
  let (Some(key), Some(age_ms), Some(seal)) = (key, age_ms, seal) else {
    return web::text(StatusCode::BAD_REQUEST, "a question for a try lacks a header");
  };
  if !shared.is_sealed(&sealed_text(key, age_ms), &seal) {
    return not_of_this_fleet(shared).response(&shared.names.request_id(), false);
  }
  let found = shared.arrivals.borrow_mut().query(shared.now().time, key, age_ms);
  let told = told(&found);
  info!(
    shared.log.logger, #Log::REQUEST, "a daemon asked for a try";
    "try" => key.0, "age_ms" => age_ms, "found" => told
  );
  let mut response = match found {
    AttemptStatus::Answered(kept) => kept.response(),
    _ => web::text(StatusCode::OK, ""),
  };
  headers::set(response.headers_mut(), headers::ARRIVAL, told);
  response
}

/// How an answer names what is known of a try.
fn told<A>(found: &AttemptStatus<A>) -> &'static str {
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

/// What came of the question for a try.
pub(super) enum Found {
  /// The answer of its backend server, or what its daemon said in its place, given once more.
  Answered(AttemptResult),
  /// Its answer was given a while ago.
  Ended,
  /// It has not run, and never will.
  NeverArrived,
  /// It may still run, or nobody can tell.
  StillOut,
}

/// Asks the box of a try, which was sent `age_ms` ago, whether it arrived.
pub(super) async fn ask(shared: &Rc<Shared>, order: &TryOrder, key: TryKey, age_ms: u64) -> Found {
  let asked_at = shared.now().time;
  let limit = Duration::from_millis(ASK_TIMEOUT_MS);
  let asking = exchange(shared, order, key, age_ms + ASK_TIMEOUT_MS);
  let answered = timer::timeout(limit, asking).await;
  // Where this process stood still meanwhile, the answer may be older than the question allows.
  let is_late = shared.now().time.since_ms(asked_at) > ASK_TIMEOUT_MS;
  let Some(mut response) = answered.ok().and_then(Result::ok).filter(|_| !is_late) else {
    return Found::StillOut;
  };
  let told = response.headers_mut().remove(headers::ARRIVAL);
  match told.as_ref().and_then(|told| told.to_str().ok()) {
    Some(NEVER_ARRIVED) => {
      // Others that rest may be as dead, and the next tries would be lost on them.
      shared.peer_pool.close_idle();
      Found::NeverArrived
    }
    Some(ANSWERED) => Found::Answered(read_peer_answer(response, &mut None).await),
    Some(ENDED) => Found::Ended,
    _ => Found::StillOut,
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
