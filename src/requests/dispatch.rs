use super::{urgency::fraction_of, *};

/// Decides for one request which boxes are tried, whether it queues there, when it is hedged or
/// retried, and when it is refused.
///
/// A state machine without I/O: each event returns one step, which the proxy carries out.
#[derive(Debug)]
pub struct Dispatch {
  /// Credit for retries of the calls that the run makes. It goes along with one try at a time, and
  /// comes back if that one did not run.
  call_credit: CallCredit,
  /// Thousandths of a call that a run of the request makes to each service; `None` where that is
  /// unknown.
  calls: Option<Vec<(ServiceName, u32)>>,
  /// Finished tries, in order.
  ended: Vec<EndedTry>,
  /// A failure that a backend server answered, returned to the caller if no other try is answered.
  fallback_answer: Option<TryId>,
  /// Boxes so far whose queue had no room for the request.
  full_queues: usize,
  /// When a hedged try may start.
  hedge_at: Option<Time>,
  last_id: u64,
  /// Tries that never reached their box.
  lost: usize,
  profile: RequestProfile,
  /// How much a retry of the request saves.
  retry_weight: RetryWeight,
  /// Tries in flight, two at most.
  running: Vec<RunningTry>,
}

#[derive(Debug)]
struct EndedTry {
  box_id: BoxId,
  outcome: AttemptOutcome,
}

#[derive(Debug)]
struct RunningTry {
  box_id: BoxId,
  /// What was sent along.
  call_credit: CallCredit,
  /// When its box is asked whether it arrived; `None` for the daemon's own box.
  check_at: Option<Time>,
  /// Milliseconds until it is asked again, doubled with each question.
  check_interval_ms: u64,
  id: TryId,
  may_queue: bool,
}

impl Dispatch {
  /// Shortest time in milliseconds after which the box of a try is asked whether it arrived:
  /// several round trips.
  const CHECK_MIN_MS: u64 = 50;
  /// The fraction of the time until an answer is due after which the box of a try is asked at the
  /// latest.
  const CHECK_FRACTION: f64 = 0.75;
  /// The multiple of its backend server's usual service time after which the box of a try is asked.
  /// At 3, 61 overloaded boxes sent 27,064 questions for 232,826 runs; at 2, 13 lightly loaded
  /// boxes sent one for every eighth try.
  const CHECK_FACTOR: u64 = 3;
  /// Boxes that are asked to run a request at once before it queues at one. With half of the boxes
  /// full, 15 of 16 requests find a free slot by then.
  const IMMEDIATE_TRIES_MAX: usize = 4;
  /// The same where the service as a whole is known to be full: a free slot is a matter of chance.
  const IMMEDIATE_TRIES_MAX_IF_FULL: usize = 1;
  /// Full queues after which a request is refused: the next box is likely to be full too.
  const FULL_QUEUES_MAX: usize = 4;
  /// The same where the service as a whole is known to be full.
  const FULL_QUEUES_MAX_IF_FULL: usize = 2;
  /// The fraction of the time until the answer is due that a new connection may take, so that a
  /// request to a box that crashed or is partitioned can still go elsewhere in time.
  const CONNECT_FRACTION: f64 = 0.25;
  /// Shortest connect timeout in milliseconds: many round trips between regions.
  const CONNECT_MIN_MS: u64 = 50;
  /// Longest connect timeout in milliseconds: by then the first packet was lost.
  const CONNECT_MAX_MS: u64 = 1_000;
  /// The multiple of the time until its answer is due after which a try is hedged. A slow request
  /// is slow on any box, so an earlier hedge gains nothing; after that the answer is likely lost.
  const HEDGE_FACTOR: f64 = 1.2;
  /// `Retry-After` in milliseconds when there is no backend server.
  const NO_BACKEND_RETRY_MS: u64 = 1_000;
  /// Tries for one request, including those that reach no backend server. Bounds the work that a
  /// full service causes.
  const TRIES_MAX: usize = 7;

  /// Creates the state of a request of which no try has started, and whose run makes no calls.
  pub fn new(profile: RequestProfile) -> Self {
    Self {
      call_credit: CallCredit::default(),
      calls: Some(Vec::new()),
      ended: Vec::new(),
      fallback_answer: None,
      full_queues: 0,
      hedge_at: None,
      last_id: 0,
      lost: 0,
      profile,
      retry_weight: RetryWeight::default(),
      running: Vec::new(),
    }
  }

  /// Sets how much a retry of the request saves, and which calls its run makes, in thousandths of a
  /// call to each service; `None` where that is unknown.
  #[must_use]
  pub fn with_calls(
    self,
    retry_weight: RetryWeight,
    calls: Option<Vec<(ServiceName, u32)>>,
  ) -> Self {
    Self { calls, retry_weight, ..self }
  }

  /// Spends a retry of the request, if one is left.
  fn spend_retry(&self, context: &mut DispatchContext) -> bool {
    let (service, weight) = (&self.profile.service, self.retry_weight);
    match &self.calls {
      Some(calls) => context.budget.spend_for(service, weight, calls),
      None => context.budget.spend_unknown(service, weight),
    }
  }

  /// Spends a hedged try of the request, if a retry is left.
  fn spend_hedge(&self, context: &mut DispatchContext) -> bool {
    let (service, weight) = (&self.profile.service, self.retry_weight);
    match &self.calls {
      Some(calls) => context.budget.spend_hedge(service, weight, calls),
      None => context.budget.spend_hedge_unknown(service, weight),
    }
  }

  /// Returns when to send [`DispatchEvent::Woken`], if no other event comes before.
  pub fn wake_at(&self) -> Option<Time> {
    let hedge_at = self.hedge_at.filter(|_| !self.running.is_empty());
    self.running.iter().filter_map(|one| one.check_at).chain(hedge_at).min()
  }

  /// Processes an event and returns the next step.
  pub fn handle(&mut self, event: DispatchEvent, context: &mut DispatchContext) -> DispatchStep {
    match event {
      DispatchEvent::Started => {
        context.budget.earn(&self.profile.service);
        if let Some(calls) = &self.calls {
          let passed = context.budget.earn_for(calls);
          // A call passes none on, so that daemons of no third service use the same share.
          self.call_credit =
            if self.profile.urgency.is_call { CallCredit::default() } else { passed };
        }
        let step = self.try_next(context);
        self.hedge_at = self.hedge_time(context);
        step
      }
      DispatchEvent::Ended { body_resendable, id, outcome } => {
        self.try_ended(id, outcome, body_resendable, context)
      }
      DispatchEvent::NeverArrived { body_resendable, id } => {
        self.never_arrived(id, body_resendable, context)
      }
      DispatchEvent::Overdue { .. } => self.overdue(context),
      DispatchEvent::StillPending { .. } => DispatchStep::Wait,
      DispatchEvent::Woken => self.woken(context),
    }
  }

  fn woken(&mut self, context: &mut DispatchContext) -> DispatchStep {
    let now = context.now;
    let is_due = |one: &&mut RunningTry| one.check_at.is_some_and(|at| now >= at);
    if let Some(due) = self.running.iter_mut().find(is_due) {
      due.check_interval_ms *= 2;
      due.check_at = Some(now.after(due.check_interval_ms));
      return DispatchStep::CheckArrival { id: due.id };
    }
    if self.hedge_at.is_some_and(|at| now >= at) { self.hedge(context) } else { DispatchStep::Wait }
  }

  /// Handles a try that was lost with its connection. The loss doesn't count against the box.
  fn never_arrived(
    &mut self,
    id: TryId,
    body_resendable: bool,
    context: &mut DispatchContext,
  ) -> DispatchStep {
    let Some(index) = self.running.iter().position(|one| one.id == id) else {
      return DispatchStep::Wait;
    };
    self.call_credit.add_all(&self.running.remove(index).call_credit);
    self.lost += 1;
    if !self.running.is_empty() {
      return DispatchStep::Wait;
    }
    let outcome = AttemptOutcome::not_run("the connection to its box was dead", 0);
    if self.is_last(&outcome, body_resendable, context) || !self.may_retry(&outcome, context) {
      return self.give_up(outcome, context);
    }
    self.hedge_at = None;
    let step = self.try_next(context);
    self.hedge_at = self.hedge_time(context);
    step
  }

  fn try_ended(
    &mut self,
    id: TryId,
    outcome: AttemptOutcome,
    body_resendable: bool,
    context: &mut DispatchContext,
  ) -> DispatchStep {
    let Some(index) = self.running.iter().position(|one| one.id == id) else {
      return DispatchStep::Wait;
    };
    let ended = self.running.remove(index);
    let is_answer = matches!(outcome, AttemptOutcome::Answered { .. });
    if matches!(outcome, AttemptOutcome::NotRun { .. }) {
      self.call_credit.add_all(&ended.call_credit);
    }
    self.full_queues += usize::from(ended.may_queue && outcome.is_declined());
    self.ended.push(EndedTry { box_id: ended.box_id, outcome: outcome.clone() });
    let is_hedged = !self.running.is_empty();
    if is_hedged && is_answer {
      return DispatchStep::Answer { id };
    }
    if is_hedged {
      return DispatchStep::Wait;
    }
    if self.is_last(&outcome, body_resendable, context) || !self.may_retry(&outcome, context) {
      return if is_answer { DispatchStep::Answer { id } } else { self.give_up(outcome, context) };
    }
    if is_answer {
      self.fallback_answer = Some(id);
    }
    self.hedge_at = None;
    let step = self.try_next(context);
    self.hedge_at = self.hedge_time(context);
    step
  }

  /// Whether a limit on tries or time rules out another try, whatever the last outcome was.
  fn is_last(
    &self,
    outcome: &AttemptOutcome,
    body_resendable: bool,
    context: &DispatchContext,
  ) -> bool {
    let is_full = context.room.is_some_and(|room| room.is_full());
    let full_queues_max =
      if is_full { Self::FULL_QUEUES_MAX_IF_FULL } else { Self::FULL_QUEUES_MAX };
    let is_late = outcome.is_declined() && context.now >= self.profile.urgency.wait_until;
    self.arrived() >= self.profile.attempts_max as usize
      || self.ended.len() + self.lost >= Self::TRIES_MAX
      || self.full_queues >= full_queues_max
      || is_late
      || !body_resendable
  }

  /// Counts the finished tries that reached a backend server or may have.
  fn arrived(&self) -> usize {
    self.ended.iter().filter(|one| one.outcome.arrived()).count()
  }

  /// Whether the request may be tried again: it did not run or is repeatable, the deadline has not
  /// passed, and the service's retry budget allows it (which this call spends).
  fn may_retry(&self, outcome: &AttemptOutcome, context: &mut DispatchContext) -> bool {
    let failed = StatusCode::INTERNAL_SERVER_ERROR.as_u16();
    let safe = match outcome {
      AttemptOutcome::Answered { status } => self.profile.retry_failures && *status == failed,
      AttemptOutcome::NotRun { .. } => true,
      AttemptOutcome::Unknown { .. } => self.profile.repeatable,
    };
    safe
      && context.now < self.profile.deadline
      // A try that reached no backend server costs no retry budget.
      && (!outcome.arrived() || self.spend_retry(context))
  }

  /// Ends the request with a backend server's failure answer if there is one, else with a refusal.
  /// That says that the request may have run where an earlier try may.
  fn give_up(&self, outcome: AttemptOutcome, context: &mut DispatchContext) -> DispatchStep {
    if let Some(id) = self.fallback_answer {
      return DispatchStep::Answer { id };
    }
    let may_have_run = |one: &&EndedTry| matches!(one.outcome, AttemptOutcome::Unknown { .. });
    let earlier = self.ended.iter().find(may_have_run).map(|one| one.outcome.clone());
    DispatchStep::Refuse(self.at_return_time(earlier.unwrap_or(outcome), context))
  }

  /// Sets when the caller of a full service should come back.
  fn at_return_time(
    &self,
    outcome: AttemptOutcome,
    context: &mut DispatchContext,
  ) -> AttemptOutcome {
    let AttemptOutcome::NotRun { arrived, declined: true, reason, retry_after_ms } = outcome else {
      return outcome;
    };
    let time = ReturnTime {
      kind: RefusalKind::Tried { told_ms: retry_after_ms },
      left_ms: self.profile.deadline.since_ms(context.now),
      wait_ms: context.room.map(|room| room.wait_ms),
    };
    let retry_after_ms = time.retry_after_ms(context.rng.random_range(0.0..1.0));
    AttemptOutcome::NotRun { arrived, declined: true, reason, retry_after_ms }
  }

  /// Starts the next try: first at boxes that may run the request at once, then in the queue of one
  /// of those that declined or of another box.
  fn try_next(&mut self, context: &mut DispatchContext) -> DispatchStep {
    let (may_queue, choice) = self.choose_next(context);
    let Choice { chosen: Some(endpoint), .. } = &choice else {
      return self.give_up(self.none_left(), context);
    };
    let endpoint = endpoint.clone();
    self.start(endpoint, may_queue, choice, context)
  }

  fn choose_next(&self, context: &mut DispatchContext) -> (bool, Choice) {
    let asked = self.ended.iter().filter(|one| one.outcome.is_declined()).count();
    let is_full = context.room.is_some_and(|room| room.is_full());
    let asked_max =
      if is_full { Self::IMMEDIATE_TRIES_MAX_IF_FULL } else { Self::IMMEDIATE_TRIES_MAX };
    if asked < asked_max {
      let tried: Vec<&BoxId> = self.ended.iter().map(|one| &one.box_id).collect();
      let choice = self.choose_except(&tried, context);
      let usable = choice.verdicts.iter().filter(|(_, verdict)| verdict.is_usable()).count();
      let is_only = usable <= 1 && self.ended.is_empty();
      if choice.chosen.is_some() && !choice.is_full && !is_only {
        return (false, choice);
      }
    }
    // A box that declined both to run and to queue the request is not asked a third time.
    let refused = |one: &&EndedTry| {
      let same = self.ended.iter().filter(|other| other.box_id == one.box_id);
      !one.outcome.is_declined() || same.count() > 1
    };
    let tried: Vec<&BoxId> = self.ended.iter().filter(refused).map(|one| &one.box_id).collect();
    (true, self.choose_except(&tried, context))
  }

  /// Chooses among the boxes not yet tried. A canary request goes to the version in force if no box
  /// of the new version can run it at once, so that a canary doesn't delay callers.
  fn choose_except(&self, tried: &[&BoxId], context: &mut DispatchContext) -> Choice {
    let main_lane = context.traffic.default_lane();
    let is_first = self.ended.is_empty() && self.running.is_empty() && self.lost == 0;
    if self.profile.lane == Lane::Target && main_lane == Lane::InForce && is_first {
      let choice = self.choose_in_lane(tried, Lane::Target, context);
      if choice.chosen.is_some() && !choice.is_full {
        return choice;
      }
    }
    self.choose_in_lane(tried, main_lane, context)
  }

  fn choose_in_lane(&self, tried: &[&BoxId], lane: Lane, context: &mut DispatchContext) -> Choice {
    let (evacuated, is_drained, traffic) = (context.evacuated, context.is_drained, context.traffic);
    let unusable = |endpoint: &Endpoint| {
      let box_id = &endpoint.peer.box_id;
      if tried.contains(&box_id) {
        return Some(Verdict::Tried);
      }
      if endpoint.state.is_gone() {
        return Some(Verdict::Gone);
      }
      if self.profile.only_box.as_ref().is_some_and(|only_box| only_box != box_id) {
        return Some(Verdict::HeldBack);
      }
      if evacuated.contains(&endpoint.peer.data_hall) {
        return Some(Verdict::Evacuated);
      }
      if self.profile.regions.as_ref().is_some_and(|regions| !regions.contains(&endpoint.region)) {
        return Some(Verdict::OtherRegion);
      }
      if !traffic.admits(endpoint, lane) {
        return Some(Verdict::OtherVersion);
      }
      let is_draining = is_drained(box_id) || endpoint.state == EndpointState::Draining;
      is_draining.then_some(Verdict::Draining)
    };
    let candidates: Vec<&Endpoint> = context.candidates.iter().collect();
    let criteria = self.profile.selection_criteria(context.now, context.own_box);
    let (now, data_hall) = (context.now, context.data_hall);
    context.balancer.choose(now, &candidates, data_hall, &criteria, unusable, context.rng)
  }

  fn start(
    &mut self,
    endpoint: Endpoint,
    may_queue: bool,
    choice: Choice,
    context: &DispatchContext,
  ) -> DispatchStep {
    self.last_id += 1;
    let id = TryId(self.last_id);
    let box_id = endpoint.peer.box_id.clone();
    let check_interval_ms = self.check_interval_ms(&box_id, may_queue, context);
    let is_elsewhere = box_id != *context.own_box;
    let check_at = is_elsewhere.then(|| context.now.after(check_interval_ms));
    let call_credit = std::mem::take(&mut self.call_credit);
    self.running.push(RunningTry {
      box_id,
      call_credit: call_credit.clone(),
      check_at,
      check_interval_ms,
      id,
      may_queue,
    });
    let (connect_ms, verdicts) = (self.connect_ms(context.now), choice.relevant_verdicts());
    DispatchStep::Try(Box::new(TryOrder {
      call_credit,
      connect_ms,
      endpoint,
      id,
      may_queue,
      verdicts,
    }))
  }

  /// Milliseconds after which the box of a try is asked whether it arrived. A try that may queue is
  /// asked as late as possible, for a long wait is normal there.
  fn check_interval_ms(&self, box_id: &BoxId, may_queue: bool, context: &DispatchContext) -> u64 {
    let due_ms = self.profile.urgency.due.since_ms(context.now);
    let deadline_ms = self.profile.deadline.since_ms(context.now);
    let latest_ms =
      fraction_of(if due_ms > 0 { due_ms } else { deadline_ms }, Self::CHECK_FRACTION);
    let latest_ms = latest_ms.max(Self::CHECK_MIN_MS);
    let usual_ms = context.balancer.service_ms(box_id).filter(|_| !may_queue);
    let expected_ms = self.profile.estimate.map(RunEstimate::mean_ms_rounded);
    let usual_ms = usual_ms.map(|usual_ms| usual_ms.max(expected_ms.unwrap_or_default()));
    let interval_ms = usual_ms.map_or(latest_ms, |usual_ms| usual_ms * Self::CHECK_FACTOR);
    interval_ms.clamp(Self::CHECK_MIN_MS, latest_ms)
  }

  fn connect_ms(&self, now: Time) -> u64 {
    let due_ms = self.profile.urgency.due.since_ms(now);
    fraction_of(due_ms, Self::CONNECT_FRACTION).clamp(Self::CONNECT_MIN_MS, Self::CONNECT_MAX_MS)
  }

  fn none_left(&self) -> AttemptOutcome {
    if let Some(last) = self.ended.last() {
      return last.outcome.clone();
    }
    let reason = format!("no backend server of {} takes work", self.profile.service);
    AttemptOutcome::not_run(reason, Self::NO_BACKEND_RETRY_MS)
  }

  /// Whether a second try may start while the first one is in flight.
  fn may_run_side_by_side(&self) -> bool {
    self.profile.repeatable && self.profile.attempts_max > 1 && self.profile.is_body_held
  }

  /// When the try that starts now may be hedged; `None` if it must not be.
  fn hedge_time(&self, context: &DispatchContext) -> Option<Time> {
    if !self.may_run_side_by_side() || !context.budget.has_spare(&self.profile.service) {
      return None;
    }
    let due_ms = self.profile.urgency.due.since_ms(context.now);
    let hedge_after_ms = fraction_of(due_ms, Self::HEDGE_FACTOR);
    (hedge_after_ms > 0).then(|| context.now.after(hedge_after_ms))
  }

  /// Hedges a try whose answer may be lost. The first try goes on, for its answer may only be
  /// queued in front of a full link.
  fn overdue(&mut self, context: &mut DispatchContext) -> DispatchStep {
    if !self.may_run_side_by_side() || context.now >= self.profile.deadline {
      return DispatchStep::Wait;
    }
    let Some((endpoint, choice)) = self.choose_hedge_box(context) else {
      return DispatchStep::Wait;
    };
    if choice.is_full || !self.spend_hedge(context) {
      return DispatchStep::Wait;
    }
    self.hedge_at = None;
    self.start(endpoint, true, choice, context)
  }

  /// Hedges a slow try at another box with free capacity. The first answer wins.
  fn hedge(&mut self, context: &mut DispatchContext) -> DispatchStep {
    self.hedge_at = None;
    let Some((endpoint, choice)) = self.choose_hedge_box(context) else {
      return DispatchStep::Wait;
    };
    let has_room = context.balancer.has_room(context.now, &endpoint.peer.box_id);
    let has_spare = context.budget.has_spare(&self.profile.service);
    if !has_room || !has_spare || !self.spend_hedge(context) {
      return DispatchStep::Wait;
    }
    self.start(endpoint, true, choice, context)
  }

  /// Chooses the box of a hedged try, if one try is in flight and the limits allow another.
  fn choose_hedge_box(&self, context: &mut DispatchContext) -> Option<(Endpoint, Choice)> {
    let [first] = &self.running[..] else {
      return None;
    };
    if self.arrived() + self.running.len() >= self.profile.attempts_max as usize {
      return None;
    }
    let mut tried: Vec<&BoxId> = self.ended.iter().map(|one| &one.box_id).collect();
    tried.push(&first.box_id);
    let choice = self.choose_except(&tried, context);
    let endpoint = choice.chosen.clone()?;
    Some((endpoint, choice))
  }
}
