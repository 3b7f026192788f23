use super::{urgency::part, *};

/// Decides the way of one request: which boxes are tried, whether it waits there, whether a second try
/// runs beside the first, whether a failure is tried again, and when it is given up.
///
/// A state machine without I/O: each event leads to one step, which the proxy carries out.
#[derive(Debug)]
pub struct Dispatch {
  /// Tries that ended, in order.
  ended: Vec<EndedTry>,
  /// Boxes so far at which the request could not even wait.
  full: usize,
  /// When a second try may start beside the first.
  hedge_at: Option<Time>,
  /// An answer that tells of a failure. The caller gets it where nobody else answers.
  kept: Option<TryId>,
  last_id: u64,
  /// Tries that never arrived.
  lost: usize,
  /// Tries under way: two at most.
  running: Vec<RunningTry>,
  terms: Terms,
}

#[derive(Debug)]
struct EndedTry {
  box_id: BoxId,
  outcome: AttemptOutcome,
}

#[derive(Debug)]
struct RunningTry {
  /// When its box is asked for it; nothing where no connection leads there.
  ask_at: Option<Time>,
  /// Milliseconds until it is asked again.
  ask_pause_ms: u64,
  box_id: BoxId,
  id: TryId,
  insists: bool,
}

impl Dispatch {
  /// Milliseconds that a try takes at least before its box is asked for it: several round trips.
  const ASK_MIN_MS: u64 = 50;
  /// The part of the time until an answer is due after which the box of a try is asked for it at the latest.
  const ASK_PART: f64 = 0.75;
  /// How many usual times of its backend server a try takes before its box is asked for it. On an
  /// overloaded day of 61 boxes 27,064 questions came to 232,826 runs; at two times, on a calm one of 13, one try
  /// in eight was asked for.
  const ASK_TIMES: u64 = 3;
  /// Boxes that are asked whether they can run a request at once, before it waits for a slot of one of
  /// them. With half of the boxes full, fifteen of sixteen requests find a free slot by then.
  const ASKED_MAX: usize = 4;
  /// Boxes at which a request may not wait, for too many do already, before it is refused: the next one
  /// is likely to be as full.
  const FULL_MAX: usize = 4;
  /// The part of the time until the answer is due that a new connection may take. Where nobody listens,
  /// a box that left without a word or is cut off, the request still goes elsewhere in time.
  const CONNECT_PART: f64 = 0.25;
  /// Milliseconds that a new connection may take at least: many round trips between regions.
  const CONNECT_MIN_MS: u64 = 50;
  /// Milliseconds that a new connection may take at most: by then its first packet was lost.
  const CONNECT_MAX_MS: u64 = 1_000;
  /// The part of the time until its answer is due for which a try goes on alone. A request that takes
  /// long takes long anywhere, so a second try before that gains nothing (measured); after that the
  /// answer is likely lost.
  const HEDGE_PART: f64 = 1.2;
  /// Milliseconds after which a caller comes back where no backend server is there.
  const NO_BACKEND_RETRY_MS: u64 = 1_000;
  /// The part of its remaining time after which a caller comes back to a service that is full. Callers
  /// wait a third of it at most.
  const RETURN_PART: f64 = 0.33;
  /// By what the time until a caller's return is multiplied, at random.
  const RETURN_SPREAD: std::ops::Range<f64> = 0.8..1.2;
  /// Boxes that are tried for one request, those included that pass it to no backend server. A bound
  /// on the work that a full service can cause.
  const TRIES_MAX: usize = 7;

  /// A request that has not set out yet.
  pub fn new(terms: Terms) -> Self {
    Self {
      ended: Vec::new(),
      full: 0,
      hedge_at: None,
      kept: None,
      last_id: 0,
      lost: 0,
      running: Vec::new(),
      terms,
    }
  }

  /// When the decision wants to be woken, if nothing else happens before.
  pub fn wake_at(&self) -> Option<Time> {
    let hedge_at = self.hedge_at.filter(|_| !self.running.is_empty());
    self.running.iter().filter_map(|one| one.ask_at).chain(hedge_at).min()
  }

  /// Takes an event and says what to do.
  pub fn handle(&mut self, event: DispatchEvent, around: &mut Surroundings) -> DispatchStep {
    match event {
      DispatchEvent::Started => {
        around.budget.earn(&self.terms.service);
        let step = self.try_next(around);
        self.hedge_at = self.first_hedge(around);
        step
      }
      DispatchEvent::Ended { body_left, id, outcome } => {
        self.try_ended(id, outcome, body_left, around)
      }
      DispatchEvent::NeverArrived { body_left, id } => self.never_arrived(id, body_left, around),
      DispatchEvent::Overdue { .. } => self.overdue(around),
      DispatchEvent::StillOut { .. } => DispatchStep::Wait,
      DispatchEvent::Woken => self.woken(around),
    }
  }

  fn woken(&mut self, around: &mut Surroundings) -> DispatchStep {
    let now = around.now;
    let is_due = |one: &&mut RunningTry| one.ask_at.is_some_and(|at| now >= at);
    if let Some(due) = self.running.iter_mut().find(is_due) {
      due.ask_pause_ms *= 2;
      due.ask_at = Some(now.after(due.ask_pause_ms));
      return DispatchStep::Ask { id: due.id };
    }
    if self.hedge_at.is_some_and(|at| now >= at) { self.hedge(around) } else { DispatchStep::Wait }
  }

  /// A try was lost with the connection that it was sent on. Its box is as good as before.
  fn never_arrived(
    &mut self,
    id: TryId,
    body_left: bool,
    around: &mut Surroundings,
  ) -> DispatchStep {
    let Some(index) = self.running.iter().position(|one| one.id == id) else {
      return DispatchStep::Wait;
    };
    self.running.remove(index);
    self.lost += 1;
    if !self.running.is_empty() {
      return DispatchStep::Wait;
    }
    let outcome = AttemptOutcome::not_run("the connection to its box was dead", 0);
    if self.is_last(&outcome, body_left, around.now) || !self.may_retry(&outcome, around) {
      return self.give_up(outcome, around);
    }
    self.hedge_at = None;
    let step = self.try_next(around);
    self.hedge_at = self.first_hedge(around);
    step
  }

  fn try_ended(
    &mut self,
    id: TryId,
    outcome: AttemptOutcome,
    body_left: bool,
    around: &mut Surroundings,
  ) -> DispatchStep {
    let Some(index) = self.running.iter().position(|one| one.id == id) else {
      return DispatchStep::Wait;
    };
    let ended = self.running.remove(index);
    let is_answer = matches!(outcome, AttemptOutcome::Answered { .. });
    self.full += usize::from(ended.insists && outcome.is_declined());
    self.ended.push(EndedTry { box_id: ended.box_id, outcome: outcome.clone() });
    let is_hedged = !self.running.is_empty();
    if is_hedged && is_answer {
      return DispatchStep::Answer { id };
    }
    if is_hedged {
      return DispatchStep::Wait;
    }
    if self.is_last(&outcome, body_left, around.now) || !self.may_retry(&outcome, around) {
      return if is_answer { DispatchStep::Answer { id } } else { self.give_up(outcome, around) };
    }
    if is_answer {
      self.kept = Some(id);
    }
    self.hedge_at = None;
    let step = self.try_next(around);
    self.hedge_at = self.first_hedge(around);
    step
  }

  /// Whether no further try follows, however the last one ended.
  fn is_last(&self, outcome: &AttemptOutcome, body_left: bool, now: Time) -> bool {
    let is_late = outcome.is_declined() && now >= self.terms.urgency.patience;
    self.arrived() >= self.terms.attempts_max as usize
      || self.ended.len() + self.lost >= Self::TRIES_MAX
      || self.full >= Self::FULL_MAX
      || is_late
      || !body_left
  }

  /// Tries that ended and reached a backend server, or may have.
  fn arrived(&self) -> usize {
    self.ended.iter().filter(|one| one.outcome.arrived()).count()
  }

  /// A try may be followed by another one where the request did not run, or may run again; within the
  /// service's budget and the deadline.
  fn may_retry(&self, outcome: &AttemptOutcome, around: &mut Surroundings) -> bool {
    let failed = StatusCode::INTERNAL_SERVER_ERROR.as_u16();
    let safe = match outcome {
      AttemptOutcome::Answered { status } => self.terms.retry_failures && *status == failed,
      AttemptOutcome::NotRun { .. } => true,
      AttemptOutcome::Unknown { .. } => self.terms.repeatable,
    };
    safe
      && around.now < self.terms.deadline
      // Where no backend server saw the request, the next try is the first one.
      && (!outcome.arrived() || around.budget.spend(&self.terms.service))
  }

  /// There is no further try: what a backend server said of its failure is the answer, where one did.
  fn give_up(&self, outcome: AttemptOutcome, around: &mut Surroundings) -> DispatchStep {
    if let Some(id) = self.kept {
      return DispatchStep::Answer { id };
    }
    DispatchStep::Refuse(self.put_off(outcome, around))
  }

  /// Where the service is full, the caller comes back after a good part of its time. At once it would
  /// meet the same requests again, and take a slot from one that can still be in time; and callers that
  /// are refused together do not return together.
  fn put_off(&self, outcome: AttemptOutcome, around: &mut Surroundings) -> AttemptOutcome {
    let AttemptOutcome::NotRun { arrived, declined: true, reason, retry_after_ms } = outcome else {
      return outcome;
    };
    let left_ms = self.terms.deadline.since_ms(around.now);
    let spread = around.rng.random_range(Self::RETURN_SPREAD);
    let retry_after_ms = retry_after_ms.max(part(left_ms, Self::RETURN_PART * spread));
    AttemptOutcome::NotRun { arrived, declined: true, reason, retry_after_ms }
  }

  /// The next box: first some that may have room are asked whether they can run the request at once,
  /// then it waits at one of those that declined, or at another one.
  fn try_next(&mut self, around: &mut Surroundings) -> DispatchStep {
    let (insists, choice) = self.choose_next(around);
    let Choice { chosen: Some(endpoint), .. } = &choice else {
      return self.give_up(self.none_left(), around);
    };
    let endpoint = endpoint.clone();
    self.start(endpoint, insists, choice, around)
  }

  fn choose_next(&self, around: &mut Surroundings) -> (bool, Choice) {
    let asked = self.ended.iter().filter(|one| one.outcome.is_declined()).count();
    if asked < Self::ASKED_MAX {
      let tried: Vec<&BoxId> = self.ended.iter().map(|one| &one.box_id).collect();
      let choice = self.choose_but(&tried, around);
      let usable = choice.verdicts.iter().filter(|(_, verdict)| verdict.is_usable()).count();
      let is_only = usable <= 1 && self.ended.is_empty();
      if choice.chosen.is_some() && !choice.is_full && !is_only {
        return (false, choice);
      }
    }
    // A box that declined to let a request wait is not asked a third time.
    let refused = |one: &&EndedTry| {
      let same = self.ended.iter().filter(|other| other.box_id == one.box_id);
      !one.outcome.is_declined() || same.count() > 1
    };
    let tried: Vec<&BoxId> = self.ended.iter().filter(refused).map(|one| &one.box_id).collect();
    (true, self.choose_but(&tried, around))
  }

  /// Chooses among all boxes but some. A request of the new version's share goes to the version in force where
  /// nobody of the new one can run it at once: the share is there to learn, not to make callers wait.
  fn choose_but(&self, tried: &[&BoxId], around: &mut Surroundings) -> Choice {
    let main_lane = around.traffic.main_lane();
    let is_first = self.ended.is_empty() && self.running.is_empty() && self.lost == 0;
    if self.terms.lane == Lane::Target && main_lane == Lane::InForce && is_first {
      let choice = self.choose_of(tried, Lane::Target, around);
      if choice.chosen.is_some() && !choice.is_full {
        return choice;
      }
    }
    self.choose_of(tried, main_lane, around)
  }

  fn choose_of(&self, tried: &[&BoxId], lane: Lane, around: &mut Surroundings) -> Choice {
    let (evacuated, is_drained, traffic) = (around.evacuated, around.is_drained, around.traffic);
    let unusable = |endpoint: &Endpoint| {
      let box_id = &endpoint.peer.box_id;
      if tried.contains(&box_id) {
        return Some(Verdict::Tried);
      }
      if endpoint.state.is_gone() {
        return Some(Verdict::Gone);
      }
      if self.terms.only_box.as_ref().is_some_and(|only_box| only_box != box_id) {
        return Some(Verdict::HeldBack);
      }
      if evacuated.contains(&endpoint.peer.data_hall) {
        return Some(Verdict::Evacuated);
      }
      if self.terms.regions.as_ref().is_some_and(|regions| !regions.contains(&endpoint.region)) {
        return Some(Verdict::OtherRegion);
      }
      if !traffic.admits(endpoint, lane) {
        return Some(Verdict::OtherVersion);
      }
      let is_draining = is_drained(box_id) || endpoint.state == EndpointState::Draining;
      is_draining.then_some(Verdict::Draining)
    };
    let candidates: Vec<&Endpoint> = around.candidates.iter().collect();
    let stakes = self.terms.stakes(around.now, around.own_box);
    let (now, data_hall) = (around.now, around.data_hall);
    around.balancer.choose(now, &candidates, data_hall, &stakes, unusable, around.rng)
  }

  fn start(
    &mut self,
    endpoint: Endpoint,
    insists: bool,
    choice: Choice,
    around: &Surroundings,
  ) -> DispatchStep {
    self.last_id += 1;
    let id = TryId(self.last_id);
    let box_id = endpoint.peer.box_id.clone();
    let ask_pause_ms = self.ask_pause_ms(&box_id, insists, around);
    let is_elsewhere = box_id != *around.own_box;
    let ask_at = is_elsewhere.then(|| around.now.after(ask_pause_ms));
    self.running.push(RunningTry { ask_at, ask_pause_ms, box_id, id, insists });
    let (connect_ms, verdicts) = (self.connect_ms(around.now), choice.relevant_verdicts());
    DispatchStep::Try(Box::new(TryOrder { connect_ms, endpoint, id, insists, verdicts }))
  }

  /// Milliseconds after which the box of a try is asked for it: longer than most take, for one that waits
  /// says little by that.
  fn ask_pause_ms(&self, box_id: &BoxId, insists: bool, around: &Surroundings) -> u64 {
    let due_ms = self.terms.urgency.due.since_ms(around.now);
    let deadline_ms = self.terms.deadline.since_ms(around.now);
    let latest_ms = part(if due_ms > 0 { due_ms } else { deadline_ms }, Self::ASK_PART);
    let latest_ms = latest_ms.max(Self::ASK_MIN_MS);
    let usual_ms = around.balancer.service_ms(box_id).filter(|_| !insists);
    let pause_ms = usual_ms.map_or(latest_ms, |usual_ms| usual_ms * Self::ASK_TIMES);
    pause_ms.clamp(Self::ASK_MIN_MS, latest_ms)
  }

  fn connect_ms(&self, now: Time) -> u64 {
    let due_ms = self.terms.urgency.due.since_ms(now);
    part(due_ms, Self::CONNECT_PART).clamp(Self::CONNECT_MIN_MS, Self::CONNECT_MAX_MS)
  }

  fn none_left(&self) -> AttemptOutcome {
    if let Some(last) = self.ended.last() {
      return last.outcome.clone();
    }
    let reason = format!("no backend server of {} takes work", self.terms.service);
    AttemptOutcome::not_run(reason, Self::NO_BACKEND_RETRY_MS)
  }

  /// Until when the try that starts now goes on alone; nothing where no second one may follow.
  fn first_hedge(&self, around: &Surroundings) -> Option<Time> {
    let may_run_twice = self.terms.repeatable && self.terms.attempts_max > 1;
    if !may_run_twice || !around.budget.has_spare(&self.terms.service) {
      return None;
    }
    let due_ms = self.terms.urgency.due.since_ms(around.now);
    let patience_ms = part(due_ms, Self::HEDGE_PART);
    (patience_ms > 0).then(|| around.now.after(patience_ms))
  }

  /// The answer of the only try may be lost: a second one starts beside it, and the first answer wins. To give the
  /// first one up would cut it where it only waits in front of a full link.
  fn overdue(&mut self, around: &mut Surroundings) -> DispatchStep {
    let may_run_twice = self.terms.repeatable && self.terms.attempts_max > 1;
    if !may_run_twice || around.now >= self.terms.deadline {
      return DispatchStep::Wait;
    }
    let Some((endpoint, choice)) = self.choose_beside(around) else {
      return DispatchStep::Wait;
    };
    if choice.is_full || !around.budget.spend(&self.terms.service) {
      return DispatchStep::Wait;
    }
    self.hedge_at = None;
    self.start(endpoint, true, choice, around)
  }

  /// The first try takes long: a second one starts at another box, where that one has room. The first
  /// answer wins.
  fn hedge(&mut self, around: &mut Surroundings) -> DispatchStep {
    self.hedge_at = None;
    let Some((endpoint, choice)) = self.choose_beside(around) else {
      return DispatchStep::Wait;
    };
    let has_room = around.balancer.has_room(around.now, &endpoint.peer.box_id);
    if !has_room || !around.budget.spend_spare(&self.terms.service) {
      return DispatchStep::Wait;
    }
    self.start(endpoint, true, choice, around)
  }

  /// The box for a second try beside the only one, where the request may be sent to one more.
  fn choose_beside(&self, around: &mut Surroundings) -> Option<(Endpoint, Choice)> {
    let [first] = &self.running[..] else {
      return None;
    };
    if self.arrived() + self.running.len() >= self.terms.attempts_max as usize {
      return None;
    }
    let mut tried: Vec<&BoxId> = self.ended.iter().map(|one| &one.box_id).collect();
    tried.push(&first.box_id);
    let choice = self.choose_but(&tried, around);
    let endpoint = choice.chosen.clone()?;
    Some((endpoint, choice))
  }
}
