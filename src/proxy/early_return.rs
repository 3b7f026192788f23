//! Refuses requests, before any try, whose callers come back earlier than they were told.

use super::*;

/// Refuses a request whose caller was told to come back later. Else returns the fingerprint under
/// which a refusal of the request is remembered, if any.
pub(super) fn check(
  shared: &Shared,
  forwarded: &ForwardedRequest,
) -> std::result::Result<Option<Fingerprint>, Refusal> {
  let (now, urgency) = (shared.now().time, forwarded.urgency);
  if !urgency.is_call {
    observe(shared, forwarded);
  }
  let returns = shared.early_returns.borrow();
  let checked = returns.check(now, forwarded.fingerprint, urgency.elapsed_ms, urgency.is_call);
  checked.map_err(|early_ms| refuse_early(shared, forwarded, early_ms))
}

fn observe(shared: &Shared, forwarded: &ForwardedRequest) {
  let (now, elapsed_ms) = (shared.now().time, forwarded.urgency.elapsed_ms);
  let observed = shared.early_returns.borrow_mut().observe(now, forwarded.fingerprint, elapsed_ms);
  if let Some(conduct) = observed {
    shared.early_classes.borrow_mut().note(now, &forwarded.class, conduct);
  }
}

fn refuse_early(shared: &Shared, forwarded: &ForwardedRequest, early_ms: u64) -> Refusal {
  shared.metrics.requests_early.inc();
  info!(
    shared.log.logger, #Log::REQUEST, "a request is refused because its caller came back early";
    "request_id" => %forwarded.id, "fingerprint" => %forwarded.fingerprint,
    "elapsed_ms" => forwarded.urgency.elapsed_ms, "retry_after_ms" => early_ms
  );
  let reason = "its caller was told to come back later";
  Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, early_ms)
}

/// Refuses the return of a request that this box did not tell to come back by now, if its class
/// comes back early in series and its service is full.
pub(super) fn check_class(
  shared: &Shared,
  forwarded: &ForwardedRequest,
) -> std::result::Result<(), Refusal> {
  let (now, urgency, class) = (shared.now().time, forwarded.urgency, &forwarded.class);
  let is_return = urgency.elapsed_ms > 0 && !urgency.is_call;
  if !is_return
    || !shared.early_classes.borrow().is_early(now, class)
    || shared.early_returns.borrow().is_back_as_told(now, forwarded.fingerprint)
  {
    return Ok(());
  }
  let forecast = shared.rooms.borrow().forecast(now, &forwarded.service, urgency.priority);
  let Some(forecast) = forecast.filter(RoomForecast::is_full) else {
    return Ok(());
  };
  let left_ms = forwarded.deadline.since_ms(now);
  let time = ReturnTime { kind: RefusalKind::Entry, left_ms, wait_ms: Some(forecast.wait_ms) };
  let retry_after_ms = time.retry_after_ms(1.0);
  shared.metrics.returns_refused_for_class.inc();
  info!(
    shared.log.logger, #Log::REQUEST, "a request is refused because its class comes back early";
    "request_id" => %forwarded.id, "class" => %class,
    "elapsed_ms" => urgency.elapsed_ms, "forecast" => %forecast, "retry_after_ms" => retry_after_ms
  );
  let reason = format!(
    "callers of {class} come back early again and again: {} has {forecast} at rank {}",
    forwarded.service, urgency.priority
  );
  Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms))
}
