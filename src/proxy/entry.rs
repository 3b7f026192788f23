//! Decides at the box that takes a caller's request in, before any try, whether it is tried.

use super::*;

/// Refuses a request that should not be tried.
pub(super) fn check(
  shared: &Shared,
  route: &RouteName,
  forwarded: &ForwardedRequest,
) -> std::result::Result<(), Refusal> {
  let request = EntryRequest {
    deadline: forwarded.deadline,
    estimate: forwarded.estimate,
    organisation: forwarded.organisation.as_ref(),
    route,
    service: &forwarded.service,
    urgency: forwarded.urgency,
  };
  let now = shared.now().time;
  // The forecast is of all backend servers of the service, not of those that may serve this one.
  let is_bound = forwarded.regions.is_some() || forwarded.only_box.is_some();
  // Calls first, so that what room admits is tried.
  check_calls(shared, now, &forwarded.id, &request)?;
  if is_bound { Ok(()) } else { check_room(shared, now, &request) }
}

/// Refuses a request that gets no part of its service's room.
fn check_room(
  shared: &Shared,
  now: Time,
  request: &EntryRequest,
) -> std::result::Result<(), Refusal> {
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

/// Refuses a request whose run is likely to fail because of the calls that it makes.
fn check_calls(
  shared: &Shared,
  now: Time,
  id: &RequestId,
  request: &EntryRequest,
) -> std::result::Result<(), Refusal> {
  let rooms = shared.rooms.borrow();
  let wait_ms = |service: &ServiceName| rooms.forecast(now, service, 0).map(|room| room.wait_ms);
  let decision = shared.call_trees.borrow_mut().decide(now, request, wait_ms);
  let EntryDecision::Refuse { reason, retry_after_ms } = decision else {
    return Ok(());
  };
  // A caller that is told more than it has left would not come back in time.
  let left_ms = request.deadline.since_ms(now);
  let time = ReturnTime { left_ms, wait_ms: Some(retry_after_ms) };
  let at = shared.rng.borrow_mut().random_range(0.0..1.0);
  let retry_after_ms = time.retry_after_ms(retry_after_ms, at);
  shared.metrics.requests_refused_for_calls.inc();
  info!(
    shared.log.logger, #Log::REQUEST, "a request is refused for the calls of its route";
    "request_id" => id.as_str(), "route" => request.route.as_str(), "reason" => reason,
    "calls" => shared.call_trees.borrow().describe(now, request.route),
    "retry_after_ms" => retry_after_ms
  );
  Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms))
}
