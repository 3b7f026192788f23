//! Decides at the box that takes a caller's request in, before any try, whether it is tried.

use super::*;

/// Refuses a request that should not be tried.
pub(super) fn check(
  shared: &Shared,
  id: &RequestId,
  request: &EntryRequest,
) -> std::result::Result<(), Refusal> {
  let now = shared.now().time;
  let mut decision = shared.rooms.borrow_mut().decide(now, request);
  if decision == EntryDecision::Admit {
    decision = decide_by_calls(shared, now, id, request);
  }
  match decision {
    EntryDecision::Admit => Ok(()),
    EntryDecision::Refuse { reason, retry_after_ms } => {
      Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms))
    }
  }
}

/// Decides by what this box knows of the calls that the request's run will make.
fn decide_by_calls(
  shared: &Shared,
  now: Time,
  id: &RequestId,
  request: &EntryRequest,
) -> EntryDecision {
  let rooms = shared.rooms.borrow();
  let wait_ms = |service: &ServiceName| rooms.forecast(now, service, 0).map(|room| room.wait_ms);
  let decision = shared.call_trees.borrow_mut().decide(now, request, wait_ms);
  if let EntryDecision::Refuse { reason, retry_after_ms } = &decision {
    shared.metrics.requests_refused_for_calls.inc();
    info!(
      shared.log.logger, #Log::REQUEST, "a request is refused for the calls of its route";
      "request_id" => id.as_str(), "route" => request.route.as_str(), "reason" => *reason,
      "calls" => shared.call_trees.borrow().describe(now, request.route),
      "retry_after_ms" => *retry_after_ms
    );
  }
  decision
}
