//! Runs a request that may run at most once: claims its key, runs it and records its result.

use super::*;

/// Largest answer in bytes to a request that may run at most once.
const RESULT_BYTES_MAX: usize = 8 << 20;

/// Largest result in bytes that the claim stores for replay to repeated requests.
const REPLAYED_BYTES_MAX: usize = 65_536;

/// Milliseconds for which the answer to the caller waits until the result is recorded.
const RECORD_TIMEOUT_MS: u64 = 1_000;

/// Milliseconds for which recording is retried in the background after the answer was sent.
const BACKGROUND_TIMEOUT_MS: u64 = 600_000;

/// Retry delay in milliseconds for a repeated request whose first run has not ended.
const RUNNING_RETRY_MS: u64 = 500;

/// Outcome of a request with a claimed key.
pub struct ClaimedOutcome {
  /// The answer to the caller.
  pub answer: std::result::Result<Response<AnyBody>, Refusal>,
  /// Outcome of the claim, for the request record.
  pub claim: String,
}

/// Claims the key, runs the request if the claim succeeds, and records the result.
pub async fn run(
  shared: &Rc<Shared>,
  forwarded: ForwardedRequest,
  ticket: ClaimTicket,
  body: Bytes,
  attempts: &mut Vec<Attempt>,
) -> ClaimedOutcome {
  let now = shared.now();
  let mut claim = Claim::new(ticket, forwarded.deadline, now.unix_ms, shared.make_seed());
  let step = claim.take();
  let outcome = settle(shared, &mut claim, step).await;
  let (name, answer) = match outcome {
    ClaimOutcome::Held(revision) => {
      let answer = run_held(shared, &forwarded, claim, revision, body, attempts).await;
      ("held", answer)
    }
    ClaimOutcome::Mismatch => {
      let reason = "the key came before with another request: use a new key";
      ("mismatch", Err(Refusal::permanent(StatusCode::UNPROCESSABLE_ENTITY, reason)))
    }
    ClaimOutcome::Repeated(state) => ("repeated", answer_repeat(&forwarded, state)),
    ClaimOutcome::NotRun { reason } => {
      release_in_background(shared, claim);
      ("not taken", Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, 1_000)))
    }
    ClaimOutcome::Recorded | ClaimOutcome::Unrecorded { .. } => {
      ("unsettled", Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "the claim was not settled")))
    }
  };
  ClaimedOutcome { answer, claim: name.into() }
}

async fn run_held(
  shared: &Rc<Shared>,
  forwarded: &ForwardedRequest,
  claim: Claim,
  revision: Revision,
  body: Bytes,
  attempts: &mut Vec<Attempt>,
) -> std::result::Result<Response<AnyBody>, Refusal> {
  let answer = forward::forward(shared, forwarded, RequestBody::Buffered(body), attempts).await;
  let whole = match answer {
    Ok(response) => collect_answer(response).await,
    Err(outcome) => Err(outcome),
  };
  let state = match &whole {
    Ok((head, body)) => completed_state(head, body),
    Err(AttemptOutcome::NotRun { .. }) => ClaimState::Released,
    Err(outcome) => ClaimState::Unknown { reason: outcome.to_string() },
  };
  record(shared, claim, state, revision).await;
  let (head, body) = whole.map_err(Refusal::from)?;
  Ok(Response::from_parts(head, web::full(body)))
}

/// Buffers the complete answer of a backend server.
async fn collect_answer(
  response: Response<AnyBody>,
) -> std::result::Result<(http::response::Parts, Bytes), AttemptOutcome> {
  let (head, body) = response.into_parts();
  let body = web::collect(body, RESULT_BYTES_MAX).await;
  let body = body.map_err(|err| AttemptOutcome::Unknown {
    reason: format!("the answer did not come whole: {err}"),
  })?;
  Ok((head, body))
}

fn completed_state(head: &http::response::Parts, body: &Bytes) -> ClaimState {
  let text = std::str::from_utf8(body).ok().filter(|text| text.len() <= REPLAYED_BYTES_MAX);
  ClaimState::Done {
    body: text.map(ToString::to_string),
    content_type: headers::text(&head.headers, "content-type").map(ToString::to_string),
    status: head.status.as_u16(),
  }
}

/// Records the outcome of the request. If the store does not answer in time, continues in the
/// background so that the caller gets the answer.
async fn record(shared: &Rc<Shared>, mut claim: Claim, state: ClaimState, revision: Revision) {
  let now = shared.now();
  let deadline = now.time.after(RECORD_TIMEOUT_MS);
  let step = claim.record(state.clone(), revision, deadline, now.unix_ms);
  if settle(shared, &mut claim, step).await == ClaimOutcome::Recorded {
    return;
  }
  let shared = shared.clone();
  monoio::spawn(async move {
    let now = shared.now();
    let deadline = now.time.after(BACKGROUND_TIMEOUT_MS);
    let step = claim.record(state, revision, deadline, now.unix_ms);
    if let ClaimOutcome::Unrecorded { reason } = settle(&shared, &mut claim, step).await {
      warn!(
        shared.log.logger, "the result of a claimed request could not be recorded";
        "reason" => reason
      );
    }
  });
}

/// Releases, in the background, a claim that may or may not be in the store, so that a later
/// request with the key may run.
fn release_in_background(shared: &Rc<Shared>, mut claim: Claim) {
  let shared = shared.clone();
  monoio::spawn(async move {
    let now = shared.now();
    let step = claim.release(now.time.after(BACKGROUND_TIMEOUT_MS), now.unix_ms);
    settle(&shared, &mut claim, step).await;
  });
}

/// Returns the answer to a repeated request with the same key.
fn answer_repeat(
  forwarded: &ForwardedRequest,
  state: ClaimState,
) -> std::result::Result<Response<AnyBody>, Refusal> {
  match state {
    ClaimState::Done { body, content_type, status } => Ok(replay(body, content_type, status)),
    ClaimState::Released | ClaimState::Running => {
      let reason = format!(
        "a request with this key is running; ask again with the same key, or `why request {}`",
        forwarded.id
      );
      Err(Refusal::running(reason, RUNNING_RETRY_MS))
    }
    ClaimState::Unknown { reason } => {
      let reason = format!("a request with this key may have run ({reason}); it never runs again");
      Err(Refusal::unknown(StatusCode::CONFLICT, reason))
    }
  }
}

fn replay(body: Option<String>, content_type: Option<String>, status: u16) -> Response<AnyBody> {
  let mut response = Response::new(web::full(body.unwrap_or_default()));
  *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
  let own_headers = response.headers_mut();
  headers::set(own_headers, headers::REPLAYED, "yes");
  if let Some(content_type) = content_type {
    headers::set(own_headers, "content-type", content_type);
  }
  response
}

/// Executes the steps of a claim until its outcome is known.
async fn settle(shared: &Shared, claim: &mut Claim, first: ClaimStep) -> ClaimOutcome {
  let mut step = first;
  loop {
    step = match step {
      ClaimStep::Call(request) => {
        let result = shared.call_store(request).await;
        claim.answered(shared.now().time, result)
      }
      ClaimStep::Settled(outcome) => return outcome,
      ClaimStep::Wait { pause_ms } => {
        timer::sleep(Duration::from_millis(pause_ms)).await;
        claim.resumed()
      }
    };
  }
}
