//! Decides at the box that takes a caller's request in, before any try, whether it is tried.

use super::*;

/// Refuses a request that should not be tried.
pub(super) fn check(shared: &Shared, request: &EntryRequest) -> std::result::Result<(), Refusal> {
  let now = shared.now().time;
  let (service, priority) = (request.service, request.urgency.priority);
  let decision = shared.rooms.borrow_mut().decide(now, request);
  shared.metrics.count_entry(service.as_str(), priority, decision == EntryDecision::Admit);
  let EntryDecision::Refuse { reason, retry_after_ms } = decision else {
    return Ok(());
  };
  let forecast = shared.rooms.borrow().forecast(now, service, priority);
  let forecast = forecast.map_or("its room is unknown".into(), |one| one.to_string());
  let reason = format!("{reason}: {service} has {forecast} at rank {priority}");
  Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms))
}
