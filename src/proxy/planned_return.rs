//! Tells the callers of full services when room is expected for their return.

use super::*;

/// Records a first try, also of a call: it takes room as well.
pub(super) fn note_first_try(shared: &Shared, forwarded: &ForwardedRequest) {
  if forwarded.urgency.elapsed_ms == 0 {
    let work_us = RefusedCaller::work_us_of(forwarded.estimate);
    let (now, priority) = (shared.now().time, forwarded.urgency.priority);
    let mut schedules = shared.return_schedules.borrow_mut();
    schedules.note_first_try(now, &forwarded.service, priority, work_us);
  }
}

/// Records that a request was answered by a backend server.
pub(super) fn note_served(shared: &Shared, forwarded: &ForwardedRequest) {
  let work_us = RefusedCaller::work_us_of(forwarded.estimate);
  let now = shared.now().time;
  shared.return_schedules.borrow_mut().note_served(now, &forwarded.service, work_us);
}

/// Returns when the caller of a request that is refused for lack of room should come back; `None`
/// where its service has no schedule or too little is known.
pub(super) fn plan(
  shared: &Shared,
  forwarded: &ForwardedRequest,
  kind: RefusalKind,
) -> Option<ReturnPlan> {
  let (service, urgency) = (&forwarded.service, forwarded.urgency);
  // The schedule is of callers, and of requests that any backend server of the service may take.
  if urgency.is_call || forwarded.is_bound() {
    return None;
  }
  let now = shared.now().time;
  // Its own rank: that of its urgency may be the one at backend servers by now.
  let priority = forwarded.admitted_rank.unwrap_or(urgency.priority);
  let forecast = shared.rooms.borrow().forecast(now, service, priority)?;
  let left_ms = forwarded.deadline.since_ms(now);
  let caller = RefusedCaller {
    due_ms: urgency.due.since_ms(now),
    priority,
    time: ReturnTime { kind, left_ms, wait_ms: Some(forecast.wait_ms) },
    work_us: RefusedCaller::work_us_of(forwarded.estimate),
  };
  let at = shared.rng.borrow_mut().random_range(0.0..1.0);
  let plan = shared.return_schedules.borrow_mut().plan(now, service, &caller, at)?;
  shared.metrics.count_return(plan.name());
  info!(
    shared.log.logger, #Log::REQUEST, "a refused caller is told when to come back";
    "request_id" => %forwarded.id, "service" => %service, "plan" => plan.name(),
    "retry_after_ms" => plan.after_ms(), "left_ms" => left_ms, "due_ms" => caller.due_ms,
    "forecast" => %forecast
  );
  Some(plan)
}

/// Sets the time in a refusal after tries to the one that is planned for its caller.
pub(super) fn adjust(
  shared: &Shared,
  forwarded: &ForwardedRequest,
  outcome: AttemptOutcome,
) -> AttemptOutcome {
  let AttemptOutcome::NotRun { arrived, declined: true, ref reason, retry_after_ms } = outcome
  else {
    return outcome;
  };
  let kind = RefusalKind::Tried { told_ms: retry_after_ms };
  let Some(plan) = plan(shared, forwarded, kind) else {
    return outcome;
  };
  let (reason, retry_after_ms) = (format!("{reason}; {plan}"), plan.after_ms());
  AttemptOutcome::NotRun { arrived, declined: true, reason, retry_after_ms }
}
