//! Decides at the box that takes a caller's request in, before any try, whether it is tried.

use super::*;

/// Refuses a request that should not be tried. Sets the rank at backend servers of one that is tried.
pub(super) fn check(
  shared: &Shared,
  route: &RouteName,
  forwarded: &mut ForwardedRequest,
) -> std::result::Result<(), Refusal> {
  let urgency = forwarded.urgency;
  let request = EntryRequest {
    deadline: forwarded.deadline,
    estimate: forwarded.estimate,
    organisation: forwarded.organisation.as_ref(),
    route,
    service: &forwarded.service,
    urgency,
  };
  let now = shared.now().time;
  // Calls first, so that what room admits is tried.
  check_calls(shared, now, &forwarded.id, &request)?;
  planned_return::note_first_try(shared, forwarded);
  // The forecast is of all backend servers of the service, not of those that may serve this one.
  if forwarded.is_bound() {
    return Ok(());
  }
  let priority = check_room(shared, now, &request, forwarded)?;
  forwarded.admitted_rank = (!urgency.is_call).then_some(urgency.priority);
  forwarded.urgency.priority = priority;
  Ok(())
}

/// Refuses a request that gets no part of its service's room. Returns its rank at backend servers.
fn check_room(
  shared: &Shared,
  now: Time,
  request: &EntryRequest,
  forwarded: &ForwardedRequest,
) -> std::result::Result<u32, Refusal> {
  let (service, priority) = (request.service, request.urgency.priority);
  let decision = shared.rooms.borrow_mut().decide(now, request);
  log_level_change(shared, service);
  shared.metrics.count_entry(service.as_str(), priority, decision.is_admitted());
  let refusal = match decision {
    RoomDecision::Admit { priority } => return Ok(priority),
    RoomDecision::Refuse(refusal) => refusal,
  };
  let plan = planned_return::plan(shared, forwarded, RefusalKind::Entry);
  let retry_after_ms = plan.map_or(refusal.retry_after_ms, ReturnPlan::after_ms);
  info!(
    shared.log.logger, #Log::REQUEST, "a request is refused for lack of room";
    "request_id" => %forwarded.id, "route" => %request.route,
    "reason" => %refusal,
    "organisation" => request.organisation.map_or("none".into(), ToString::to_string),
    "elapsed_ms" => request.urgency.elapsed_ms, "retry_after_ms" => retry_after_ms
  );
  let reason = plan.map_or(refusal.to_string(), |plan| format!("{refusal}; {plan}"));
  Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms))
}

/// Logs a change of the share of a service's demand that enters here, at most once a window.
fn log_level_change(shared: &Shared, service: &ServiceName) {
  let Some(change) = shared.rooms.borrow_mut().take_level_change(service) else {
    return;
  };
  info!(
    shared.log.logger, "another share of a service's demand enters here";
    "service" => %service, "before_percent" => change.before_percent,
    "after_percent" => change.after_percent, "waiting_percent_of_slots" => change.excess_percent,
    "reports" => change.reports, "ended" => change.ended, "refused" => change.refused
  );
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
  shared.metrics.requests_refused_for_calls.inc();
  info!(
    shared.log.logger, #Log::REQUEST, "a request is refused for the calls of its route";
    "request_id" => %id, "route" => %request.route, "reason" => reason,
    "calls" => shared.call_trees.borrow().describe(now, request.route),
    "retry_after_ms" => retry_after_ms
  );
  Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms))
}
