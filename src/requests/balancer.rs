use super::*;

/// Chooses a backend server for each attempt: of a few random candidates, the one with the lowest
/// expected loss.
///
/// The loss is a share of the request's value. It covers lateness and refusal at a slow or full
/// backend server, failures, and the bytes sent between data halls, which are expensive. The
/// estimate rests mainly on the condition that the daemon beside a backend server reports; this
/// daemon's own requests in flight are a lower bound of its load.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
  backends: BTreeMap<BoxId, BackendView>,
}

/// What this daemon knows of one backend server.
#[derive(Clone, Debug, Default)]
struct BackendView {
  /// The last condition that its daemon reported, and when.
  condition: Option<(Condition, Time)>,
  /// Doublings of the time for which a bad condition counts.
  condition_doublings: u32,
  ejected_until: Option<Time>,
  /// Consecutive ejections.
  ejections: u32,
  /// Consecutive attempts that got no answer.
  failures: u32,
  /// The incarnation of the box and the number of starts of its backend server. All data is reset
  /// when they change.
  generation: Option<(Incarnation, u32)>,
  in_flight: u32,
  /// When it last answered, even if it refused.
  last_answer_at: Time,
  /// Moving average of the attempts' latency in microseconds, which rises faster than it falls.
  latency_us: f64,
  /// Microseconds that a request took at the others as it was last compared; 0 where that was
  /// unknown.
  others_us: f64,
}

/// Load and latency of an average backend server of a service.
#[derive(Clone, Copy, Debug)]
struct TypicalBackend {
  /// Running and waiting requests as a share of the slots.
  load: f64,
  /// Milliseconds that a large answer waits for the box's network link.
  link_wait_ms: f64,
  /// Microseconds that a request takes; 0 where that is unknown for all.
  service_us: f64,
  /// Backend servers of which that is known.
  timed: f64,
}

impl TypicalBackend {
  /// Returns the microseconds that a request takes at the others than one where it takes `own_us`, 0
  /// if unknown; 0 where that is unknown for all.
  fn service_us_without(&self, own_us: f64) -> f64 {
    let others = if own_us > 0.0 { self.timed - 1.0 } else { self.timed };
    if others < 1.0 { 0.0 } else { (self.service_us * self.timed - own_us) / others }
  }
}

/// The result of a choice.
#[derive(Clone, Debug)]
pub struct Choice {
  /// The chosen backend server; `None` where none may be used.
  pub chosen: Option<Endpoint>,
  /// Whether all its slots are expected to be taken.
  pub is_full: bool,
  /// Why each candidate was chosen or not.
  pub verdicts: Vec<(BoxId, Verdict)>,
}

impl Choice {
  /// Returns the verdicts without the candidates that were not compared, of which a large service
  /// has many.
  pub fn relevant_verdicts(self) -> Vec<(BoxId, Verdict)> {
    let is_compared = |(_, verdict): &(BoxId, Verdict)| *verdict != Verdict::NotCompared;
    self.verdicts.into_iter().filter(is_compared).collect()
  }
}

impl Balancer {
  /// Bytes whose transfer between data halls costs as much as a request is worth. A request of this
  /// size goes to another data hall only where it would fail otherwise.
  const BYTES_PER_REQUEST_VALUE: f64 = 100_000.0;
  /// Candidates compared from the own data hall, and as many from all others. Reports are as old as
  /// a request takes, so with more candidates all daemons would choose the same backend server.
  const SAMPLE_SIZE: usize = 2;
  /// First ejection time, in milliseconds, of a backend server that does not answer.
  const EJECTION_MIN_MS: u64 = 1_000;
  /// Longest ejection time, in milliseconds.
  const EJECTION_MAX_MS: u64 = 30_000;
  /// Consecutive attempts without an answer after which a backend server is ejected.
  const FAILURES_MAX: u32 = 3;
  /// Bytes that the heads of a request and its answer take between two daemons.
  const HEAD_BYTES: f64 = 1_500.0;
  /// Share of requests that miss their target latency where a typical request takes exactly that
  /// long, by the usual variation of service times. The share falls with the square of the service
  /// time.
  const LATE_AT_TARGET: f64 = 0.4;
  /// Milliseconds after its last answer for which what is known of a backend server counts. After
  /// that, one request is sent as if nothing were known. The time is longer than the few seconds
  /// between two requests of a daemon of a large fleet to the same backend server.
  const CONDITION_AGE_MS: u64 = 10_000;
  /// The same for one that is slow or failing: its condition only comes with answers, and it gets no
  /// requests.
  const BAD_AGE_MIN_MS: u64 = 1_000;
  /// The same for one that was still slow or failing each time. The time doubles with each such
  /// request, so that each daemon spends few of them on a backend server that does not recover.
  const BAD_AGE_MAX_MS: u64 = 16_000;
  /// Age in milliseconds at which a reported load no longer counts, and the average of the others
  /// replaces it.
  const LOAD_MAX_AGE_MS: u64 = 1_000;
  /// Difference of expected losses that callers do not notice, as a share of a request's value.
  /// Otherwise the backend server with the lowest average would take all requests at light load,
  /// though averages differ by chance.
  const EQUAL_LOSS: f64 = 0.01;
  /// Highest load in percent at which a backend server has room.
  const ROOM_PERCENT: u32 = 70;
  /// Least load in percent assumed of a backend server that has just refused a request.
  const SHED_PERCENT: u32 = 100;
  /// Share of failures from which a backend server counts as failing.
  const FAILING_SHARE: f64 = 0.1;
  /// Factor over the last run time below which a slow backend server is recovering.
  const IMPROVED_FACTOR: f64 = 0.9;
  /// Factor over the run time at the others from which a backend server counts as slow.
  const SLOW_FACTOR: f64 = 1.5;
  /// Part of a request's time that it may wait for a slot before it is refused.
  const WAIT_PART_MAX: f64 = 0.2;
  /// Share of the loss of a failure that remains for a repeatable request: it costs a retry, and
  /// retries are limited.
  const REPEATED_LOSS: f64 = 0.5;

  /// Chooses among the backend servers of a service. `unusable` returns why a candidate may not be
  /// chosen, if it may not.
  pub fn choose(
    &mut self,
    now: Time,
    candidates: &[&Endpoint],
    data_hall: &DataHall,
    criteria: &SelectionCriteria,
    unusable: impl Fn(&Endpoint) -> Option<Verdict>,
    rng: &mut ChaCha8Rng,
  ) -> Choice {
    let mut verdicts: Vec<(BoxId, Verdict)> = Vec::with_capacity(candidates.len());
    let mut usable: Vec<&Endpoint> = Vec::with_capacity(candidates.len());
    let mut ejected: Vec<&Endpoint> = Vec::new();
    for endpoint in candidates {
      let box_id = endpoint.peer.box_id.clone();
      if let Some(verdict) = unusable(endpoint) {
        verdicts.push((box_id, verdict));
      } else if self.is_ejected(now, endpoint) {
        ejected.push(endpoint);
      } else {
        usable.push(endpoint);
      }
    }
    // At most half of a service is ejected at once: beyond that, the network to it is the likelier
    // fault.
    if ejected.len() > usable.len() {
      usable.append(&mut ejected);
    }
    verdicts.extend(ejected.iter().map(|one| (one.peer.box_id.clone(), Verdict::Ejected)));
    let typical = self.typical(now, &usable);
    let chosen = self.pick(now, &usable, data_hall, criteria, typical, rng, &mut verdicts);
    let is_full = chosen.is_some_and(|chosen| {
      let link_wait_ms = self.link_wait_ms(now, chosen, criteria, typical);
      self.expected_load(now, chosen, typical) >= 1.0 || AnswerBudget::is_long(link_wait_ms)
    });
    Choice { chosen: chosen.cloned(), is_full, verdicts }
  }

  #[allow(clippy::too_many_arguments)]
  fn pick<'a>(
    &mut self,
    now: Time,
    usable: &[&'a Endpoint],
    data_hall: &DataHall,
    criteria: &SelectionCriteria,
    typical: TypicalBackend,
    rng: &mut ChaCha8Rng,
    verdicts: &mut Vec<(BoxId, Verdict)>,
  ) -> Option<&'a Endpoint> {
    let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) =
      usable.iter().partition(|endpoint| endpoint.peer.data_hall == *data_hall);
    let mut compared: Vec<(f64, &Endpoint)> = Vec::with_capacity(1 + 2 * Self::SAMPLE_SIZE);
    let own = usable.iter().find(|one| criteria.near_box.as_ref() == Some(&one.peer.box_id));
    if let Some(own) = own {
      compared.push((self.expected_loss(now, own, criteria, typical), own));
    }
    for (list, is_far) in [(&near, false), (&far, true)] {
      for endpoint in list.choose_multiple(rng, Self::SAMPLE_SIZE) {
        let loss = self.expected_loss(now, endpoint, criteria, typical);
        compared.push((loss + if is_far { Self::bytes_loss(criteria) } else { 0.0 }, endpoint));
      }
    }
    let least = compared.iter().map(|(loss, _)| *loss).fold(f64::INFINITY, f64::min);
    let equal = compared.iter().filter(|(loss, _)| *loss <= least + Self::EQUAL_LOSS);
    let loads = equal.map(|(_, one)| (self.expected_load(now, one, typical), *one));
    let chosen = loads.min_by(|(load, _), (other, _)| load.total_cmp(other));
    let chosen = chosen.map(|(_, endpoint)| endpoint);
    for endpoint in usable {
      let box_id = &endpoint.peer.box_id;
      let verdict = match chosen {
        Some(chosen) if chosen.peer.box_id == *box_id => Verdict::Chosen,
        _ if compared.iter().any(|(_, one)| one.peer.box_id == *box_id) => Verdict::Loaded,
        _ => Verdict::NotCompared,
      };
      verdicts.push((box_id.clone(), verdict));
    }
    chosen
  }

  /// Returns the cost of the bytes sent between data halls, as a share of the request's value.
  #[allow(clippy::cast_precision_loss)]
  fn bytes_loss(criteria: &SelectionCriteria) -> f64 {
    let bytes = (criteria.body_bytes + criteria.answer_bytes) as f64;
    (bytes + Self::HEAD_BYTES) / Self::BYTES_PER_REQUEST_VALUE
  }

  /// Returns the average of the known backend servers, which is assumed for the unknown ones.
  fn typical(&self, now: Time, usable: &[&Endpoint]) -> TypicalBackend {
    let known: Vec<&BackendView> =
      usable.iter().filter_map(|one| self.backends.get(&one.peer.box_id)).collect();
    let timed = || known.iter().map(|view| view.service_us(now)).filter(|us| *us > 0.0);
    #[allow(clippy::cast_precision_loss)]
    TypicalBackend {
      link_wait_ms: mean(known.iter().filter_map(|view| view.reported_link_wait(now))),
      load: mean(known.iter().filter_map(|view| view.reported(now)).map(|(load, _)| load)),
      service_us: mean(timed()),
      timed: timed().count() as f64,
    }
  }

  /// Returns the expected loss at a backend server, as a share of the request's value. Lower is
  /// better.
  fn expected_loss(
    &mut self,
    now: Time,
    endpoint: &Endpoint,
    criteria: &SelectionCriteria,
    typical: TypicalBackend,
  ) -> f64 {
    let load = self.expected_load(now, endpoint, typical);
    let (known_us, failed) = {
      let view = self.view(endpoint);
      let known_us = view.service_us(now);
      view.others_us = typical.service_us_without(known_us);
      (known_us, view.failure_share(now))
    };
    let service_us = if known_us > 0.0 { known_us } else { typical.service_us };
    // A full backend server is slower; beyond full load, requests also wait for one another.
    let slowdown = 1.0 + load * load / 2.0;
    #[allow(clippy::cast_precision_loss)]
    let due_us = (criteria.due_ms.max(1) * 1_000) as f64;
    let transfer_us =
      Self::transfer_us(endpoint, criteria) + self.answer_link_us(now, endpoint, criteria, typical);
    let part = (service_us * slowdown + transfer_us) / due_us;
    let late = (Self::LATE_AT_TARGET * part * part).min(1.0);
    let wait_part = service_us * (load - 1.0).max(0.0) / due_us;
    let refused = (wait_part / Self::WAIT_PART_MAX).min(1.0);
    let failed = if criteria.repeatable { failed * Self::REPEATED_LOSS } else { failed };
    late + failed + refused
  }

  /// Returns the microseconds that the body takes at least on the link of a remote box; 0 for the
  /// own box, or where the link's rate is unknown.
  #[allow(clippy::cast_precision_loss)]
  fn transfer_us(endpoint: &Endpoint, criteria: &SelectionCriteria) -> f64 {
    const BITS_PER_BYTE: f64 = 8.0;
    let is_remote = criteria.near_box.as_ref().is_some_and(|near| *near != endpoint.peer.box_id);
    if !is_remote || endpoint.link_mbps == 0 {
      return 0.0;
    }
    criteria.body_bytes as f64 * BITS_PER_BYTE / f64::from(endpoint.link_mbps)
  }

  /// Returns the microseconds that a large answer waits for the link of a remote box, and takes to
  /// cross it.
  #[allow(clippy::cast_precision_loss)]
  fn answer_link_us(
    &mut self,
    now: Time,
    endpoint: &Endpoint,
    criteria: &SelectionCriteria,
    typical: TypicalBackend,
  ) -> f64 {
    const BITS_PER_BYTE: f64 = 8.0;
    if criteria.answer_bytes <= AnswerBudget::SMALL_BYTES || endpoint.link_mbps == 0 {
      return 0.0;
    }
    let crossing_us = criteria.answer_bytes as f64 * BITS_PER_BYTE / f64::from(endpoint.link_mbps);
    crossing_us + self.link_wait_ms(now, endpoint, criteria, typical) * 1_000.0
  }

  /// Returns the milliseconds that the answer is expected to wait for a box's link: the reported
  /// wait, and the typical one instead as the report ages. Small answers do not wait.
  fn link_wait_ms(
    &mut self,
    now: Time,
    endpoint: &Endpoint,
    criteria: &SelectionCriteria,
    typical: TypicalBackend,
  ) -> f64 {
    if criteria.answer_bytes <= AnswerBudget::SMALL_BYTES {
      return 0.0;
    }
    let view = self.view(endpoint);
    let freshness = view.reported(now).map_or(0.0, |(_, freshness)| freshness);
    let reported_ms = view.reported_link_wait(now).unwrap_or_default();
    reported_ms * freshness + typical.link_wait_ms * (1.0 - freshness)
  }

  /// Returns the running and waiting requests as a share of the slots: the last reported load,
  /// weighted by its freshness, but at least this daemon's own requests in flight.
  fn expected_load(&mut self, now: Time, endpoint: &Endpoint, typical: TypicalBackend) -> f64 {
    let slots = f64::from(endpoint.slots.max(1));
    let view = self.view(endpoint);
    let (reported, freshness) = view.reported(now).unwrap_or_default();
    let expected = reported * freshness + typical.load * (1.0 - freshness);
    expected.max(f64::from(view.in_flight) / slots)
  }

  /// Returns the view of a backend server, reset where its process or its box's daemon restarted.
  fn view(&mut self, endpoint: &Endpoint) -> &mut BackendView {
    let view = self.view_of_box(&endpoint.peer.box_id);
    let generation = (endpoint.incarnation, endpoint.backend_starts);
    if view.generation.is_some_and(|known| known < generation) {
      *view = BackendView { in_flight: view.in_flight, ..BackendView::default() };
    }
    view.generation = Some(generation);
    view
  }

  fn view_of_box(&mut self, box_id: &BoxId) -> &mut BackendView {
    if !self.backends.contains_key(box_id) {
      self.backends.insert(box_id.clone(), BackendView::default());
    }
    self.backends.get_mut(box_id).expect("just inserted")
  }

  fn is_ejected(&mut self, now: Time, endpoint: &Endpoint) -> bool {
    self.view(endpoint).ejected_until.is_some_and(|until| now < until)
  }

  /// Records the start of an attempt. Each start must be followed by one call of
  /// [`Balancer::ended`].
  pub fn started(&mut self, box_id: &BoxId) {
    self.view_of_box(box_id).in_flight += 1;
  }

  /// Records that an attempt's answer began to arrive, or that it failed.
  pub fn completed(&mut self, now: Time, box_id: &BoxId, completion: Completion) {
    let view = self.view_of_box(box_id);
    match completion {
      Completion::Failed => view.fail(now),
      Completion::Served { condition, latency_us } => view.serve(now, latency_us, condition),
      Completion::Shed { condition } => view.shed(now, condition),
      Completion::Unreachable => view.eject(now),
    }
  }

  /// Records the end of an attempt, whether or not its answer was complete.
  pub fn ended(&mut self, box_id: &BoxId) {
    let view = self.view_of_box(box_id);
    view.in_flight = view.in_flight.saturating_sub(1);
  }

  /// Returns whether a backend server has recently reported that it has room.
  pub fn has_room(&self, now: Time, box_id: &BoxId) -> bool {
    let condition = self.backends.get(box_id).and_then(|view| view.condition);
    condition.is_some_and(|(condition, at)| {
      condition.load_percent <= Self::ROOM_PERCENT && now.since_ms(at) <= Self::LOAD_MAX_AGE_MS
    })
  }

  /// Returns the milliseconds that a request takes at a backend server; `None` where that is
  /// unknown.
  pub fn service_ms(&self, box_id: &BoxId) -> Option<u64> {
    let service_us =
      self.backends.get(box_id).map(BackendView::last_service_us).filter(|us| *us > 0.0)?;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let service_ms = (service_us / 1_000.0).ceil() as u64;
    Some(service_ms)
  }

  /// Returns the attempts in flight at a backend server.
  pub fn in_flight(&self, box_id: &BoxId) -> u32 {
    self.backends.get(box_id).map_or(0, |view| view.in_flight)
  }

  /// Drops a box that is gone, unless it has attempts in flight.
  pub fn forget(&mut self, box_id: &BoxId) {
    if self.in_flight(box_id) == 0 {
      self.backends.remove(box_id);
    }
  }

  /// Drops boxes that are gone and have no attempts in flight.
  pub fn retain(&mut self, is_known: impl Fn(&BoxId) -> bool) {
    self.backends.retain(|box_id, view| view.in_flight > 0 || is_known(box_id));
  }
}

impl BackendView {
  /// Returns whether the data is out of date and no request in flight will renew it.
  fn is_outdated(&self, now: Time) -> bool {
    self.in_flight == 0 && self.is_condition_old(now)
  }

  /// Returns whether the last answer is so old that the condition may have changed.
  fn is_condition_old(&self, now: Time) -> bool {
    let age_ms = if self.is_bad() {
      Balancer::BAD_AGE_MIN_MS << self.condition_doublings
    } else {
      Balancer::CONDITION_AGE_MS
    };
    now.since_ms(self.last_answer_at) > age_ms
  }

  /// Records a condition. If a bad one is still as bad after it was out of date, it counts for longer from
  /// now on, and for less while it improves.
  fn note_condition(&mut self, condition: Condition, now: Time, was_old: bool) {
    /// Doublings after which the longest time is reached.
    const DOUBLINGS_MAX: u32 = (Balancer::BAD_AGE_MAX_MS / Balancer::BAD_AGE_MIN_MS).ilog2();
    let before_us = self.last_service_us();
    self.condition = Some((condition, now));
    let is_improving = self.last_service_us() < Balancer::IMPROVED_FACTOR * before_us;
    self.condition_doublings = match self.condition_doublings {
      _ if !self.is_bad() => 0,
      doublings if !was_old => doublings,
      doublings if is_improving => doublings.saturating_sub(1),
      doublings => (doublings + 1).min(DOUBLINGS_MAX),
    };
  }

  /// Returns whether the backend server fails requests or is slower than the others.
  fn is_bad(&self) -> bool {
    let failures_permille = self.condition.map_or(0, |(condition, _)| condition.failures_permille);
    let is_failing = f64::from(failures_permille) / 1_000.0 >= Balancer::FAILING_SHARE;
    let is_slow =
      self.others_us > 0.0 && self.last_service_us() > Balancer::SLOW_FACTOR * self.others_us;
    is_failing || is_slow
  }

  /// Returns the microseconds that a request takes; 0 where that is unknown or out of date.
  fn service_us(&self, now: Time) -> f64 {
    if self.is_outdated(now) { 0.0 } else { self.last_service_us() }
  }

  /// Returns the microseconds that a request took last; 0 where that is unknown.
  fn last_service_us(&self) -> f64 {
    let reported_us = self.condition.map_or(0, |(condition, _)| condition.service_us);
    #[allow(clippy::cast_precision_loss)]
    let reported_us = reported_us as f64;
    if reported_us > 0.0 { reported_us } else { self.latency_us }
  }

  /// Returns the last reported load as a share of the slots, and its freshness from 0 to 1; `None`
  /// where it is out of date.
  #[allow(clippy::cast_precision_loss)]
  fn reported(&self, now: Time) -> Option<(f64, f64)> {
    let (condition, at) = self.condition?;
    let age_ms = now.since_ms(at);
    let freshness = 1.0 - age_ms as f64 / Balancer::LOAD_MAX_AGE_MS as f64;
    (freshness > 0.0).then(|| (f64::from(condition.load_percent) / 100.0, freshness))
  }

  /// Returns the milliseconds that a large answer waits for the link, as reported; `None` if the
  /// report is out of date.
  #[allow(clippy::cast_precision_loss)]
  fn reported_link_wait(&self, now: Time) -> Option<f64> {
    let (condition, _) = self.condition.filter(|_| self.reported(now).is_some())?;
    Some(condition.link_wait_ms as f64)
  }

  fn failure_share(&self, now: Time) -> f64 {
    let condition = self.condition.filter(|_| !self.is_outdated(now));
    condition.map_or(0.0, |(condition, _)| f64::from(condition.failures_permille) / 1_000.0)
  }

  /// Ejects the backend server after several consecutive failures. The first request after an
  /// ejection is a probe: if it fails, a longer ejection follows at once.
  fn fail(&mut self, now: Time) {
    self.failures += 1;
    let is_probe = self.ejections > 0;
    if self.failures < Balancer::FAILURES_MAX && !is_probe {
      return;
    }
    self.eject(now);
  }

  /// Ejects the backend server, for longer each time.
  fn eject(&mut self, now: Time) {
    let pause_ms = Balancer::EJECTION_MIN_MS << self.ejections.min(5);
    self.ejected_until = Some(now.after(pause_ms.min(Balancer::EJECTION_MAX_MS)));
    self.ejections += 1;
  }

  fn serve(&mut self, now: Time, latency_us: Option<u64>, condition: Option<Condition>) {
    let was_old = self.is_condition_old(now);
    self.answered(now);
    if let Some(condition) = condition {
      self.note_condition(condition, now, was_old);
    }
    let Some(latency_us) = latency_us else {
      return;
    };
    #[allow(clippy::cast_precision_loss)]
    let seen_us = latency_us as f64;
    let weight = match self.latency_us {
      0.0 => 1.0,
      known_us if seen_us > known_us => 0.5,
      _ => 0.1,
    };
    self.latency_us += weight * (seen_us - self.latency_us);
  }

  fn shed(&mut self, now: Time, condition: Option<Condition>) {
    let was_old = self.is_condition_old(now);
    self.answered(now);
    let known = condition.or(self.condition.map(|(condition, _)| condition)).unwrap_or_default();
    // A refusal for the link says nothing of the slots.
    #[allow(clippy::cast_precision_loss)]
    let is_for_link = AnswerBudget::is_long(known.link_wait_ms as f64);
    let least_percent = if is_for_link { 0 } else { Balancer::SHED_PERCENT };
    let load_percent = known.load_percent.max(least_percent);
    self.note_condition(Condition { load_percent, ..known }, now, was_old);
  }

  /// Records that the box can be reached.
  fn answered(&mut self, now: Time) {
    self.last_answer_at = now;
    self.failures = 0;
    self.ejections = 0;
    self.ejected_until = None;
  }
}

/// Returns the mean, or 0 where there are no values.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
  let (count, sum) = values.fold((0.0, 0.0), |(count, sum), value| (count + 1.0, sum + value));
  if count > 0.0 { sum / count } else { 0.0 }
}
