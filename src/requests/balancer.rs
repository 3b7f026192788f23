use super::*;

/// Chooses a backend server for each try: the one of some drawn at random where least is expected to
/// be lost.
///
/// What can be lost is the request's time, where the backend server is slow or full; the request
/// itself, where it fails part of its requests; and bytes between data halls, which are dear. What the
/// daemon beside a backend server says of it counts most, and the own requests under way tip the scale.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
  views: BTreeMap<BoxId, View>,
}

/// What this daemon knows of one backend server.
#[derive(Clone, Debug, Default)]
struct View {
  /// What its daemon said last, and when.
  condition: Option<(Condition, Time)>,
  ejected_until: Option<Time>,
  /// Ejections in a row.
  ejections: u32,
  /// Tries in a row that got no answer.
  failures: u32,
  in_flight: u32,
  /// When it last answered, if only to refuse.
  known_at: Time,
  /// A moving average of what tries took, in microseconds, quick to rise.
  latency_us: f64,
  /// The life of the box, and the process of its backend server, that all of this is about, so that a new one
  /// starts without its past.
  life: Option<(Incarnation, u32)>,
}

/// What a typical backend server of a service does.
#[derive(Clone, Copy, Debug)]
struct Typical {
  /// Requests running and waiting, as a share of the slots.
  load: f64,
  /// Microseconds that a request takes; 0 where that is known of none.
  service_us: f64,
}

/// What a choice came to.
#[derive(Clone, Debug)]
pub struct Choice {
  /// The backend server; nothing where none may be used.
  pub chosen: Option<Endpoint>,
  /// Whether all its slots are expected to be taken.
  pub is_full: bool,
  /// Why each candidate was or was not chosen.
  pub verdicts: Vec<(BoxId, Verdict)>,
}

impl Choice {
  /// The verdicts that say something: a large service has many that nobody looked at.
  pub fn told_verdicts(self) -> Vec<(BoxId, Verdict)> {
    let told = |(_, verdict): &(BoxId, Verdict)| *verdict != Verdict::NotCompared;
    self.verdicts.into_iter().filter(told).collect()
  }
}

impl Balancer {
  /// Bytes that cost as much between data halls as a whole request is worth: a request of this size
  /// is sent elsewhere only where it would be lost otherwise.
  const BYTES_OF_A_REQUEST: f64 = 100_000.0;
  /// Candidates that are compared of each data hall, the own one and all others: more would all run
  /// after the same one, by news that is as old as a request takes.
  const DRAWN: usize = 2;
  /// First pause of a backend server whose tries get no answer.
  const EJECTION_MIN_MS: u64 = 1_000;
  /// Longest pause of a backend server whose tries get no answer.
  const EJECTION_MAX_MS: u64 = 30_000;
  /// Tries in a row without answer after which a backend server rests.
  const FAILURES_MAX: u32 = 3;
  /// Bytes of heads that each request and its answer send between two daemons, as measured.
  const HEAD_BYTES: f64 = 1_500.0;
  /// The share of requests that miss their target where a typical one takes just as long as that. By
  /// the usual spread of service times; the share falls with the square of the time.
  const LATE_AT_TARGET: f64 = 0.4;
  /// Milliseconds after its last answer for which a backend server is held for slow or failing. Then one request
  /// tries it as if nothing were known: otherwise one that looked slow once gets no work while others have room
  /// (32 s at light load, six real daemons). Longer than a restart or a slow link takes, so that each daemon spends
  /// few requests on one that still is so.
  const KNOWN_KEPT_MS: u64 = 10_000;
  /// Milliseconds over which a reported load loses its weight against what others reported.
  const LOAD_KEPT_MS: u64 = 1_000;
  /// Load in percent up to which a backend server counts as one with room.
  const ROOM_PERCENT: u32 = 70;
  /// Load in percent, at least, of a backend server that refused a moment ago.
  const SHED_PERCENT: u32 = 100;
  /// The part of a request's time for which it may wait for a slot before it is refused.
  const WAIT_PART_MAX: f64 = 0.2;
  /// What is lost by a failure of a request that may run again: a retry, which the fleet has few of.
  const REPEATED_LOSS: f64 = 0.5;

  /// Chooses among the backend servers of a service.
  pub fn choose(
    &mut self,
    now: Time,
    candidates: &[&Endpoint],
    data_hall: &DataHall,
    stakes: &SelectionCriteria,
    unusable: impl Fn(&Endpoint) -> Option<Verdict>,
    rng: &mut ChaCha8Rng,
  ) -> Choice {
    let mut verdicts: Vec<(BoxId, Verdict)> = Vec::with_capacity(candidates.len());
    let mut usable: Vec<&Endpoint> = Vec::with_capacity(candidates.len());
    let mut resting: Vec<&Endpoint> = Vec::new();
    for endpoint in candidates {
      let box_id = endpoint.peer.box_id.clone();
      if let Some(verdict) = unusable(endpoint) {
        verdicts.push((box_id, verdict));
      } else if self.is_ejected(now, endpoint) {
        resting.push(endpoint);
      } else {
        usable.push(endpoint);
      }
    }
    // At most half of a service rests at once: beyond that the failures say more of the way there.
    if resting.len() > usable.len() {
      usable.append(&mut resting);
    }
    verdicts.extend(resting.iter().map(|one| (one.peer.box_id.clone(), Verdict::Ejected)));
    let typical = self.typical(now, &usable);
    let chosen = self.pick(now, &usable, data_hall, stakes, typical, rng, &mut verdicts);
    let is_full = chosen.is_some_and(|chosen| self.expected_load(now, chosen, typical) >= 1.0);
    Choice { chosen: chosen.cloned(), is_full, verdicts }
  }

  #[allow(clippy::too_many_arguments)]
  fn pick<'a>(
    &mut self,
    now: Time,
    usable: &[&'a Endpoint],
    data_hall: &DataHall,
    stakes: &SelectionCriteria,
    typical: Typical,
    rng: &mut ChaCha8Rng,
    verdicts: &mut Vec<(BoxId, Verdict)>,
  ) -> Option<&'a Endpoint> {
    let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) =
      usable.iter().partition(|endpoint| endpoint.peer.data_hall == *data_hall);
    let mut compared: Vec<(f64, &Endpoint)> = Vec::with_capacity(2 * Self::DRAWN);
    let own = usable.iter().find(|one| stakes.near_box.as_ref() == Some(&one.peer.box_id));
    if let Some(own) = own {
      compared.push((self.expected_loss(now, own, stakes, typical), own));
    }
    for (list, is_far) in [(&near, false), (&far, true)] {
      for endpoint in list.choose_multiple(rng, Self::DRAWN) {
        let loss = self.expected_loss(now, endpoint, stakes, typical);
        compared.push((loss + if is_far { Self::bytes_loss(stakes) } else { 0.0 }, endpoint));
      }
    }
    let chosen = compared.iter().min_by(|(loss, _), (other, _)| loss.total_cmp(other));
    let chosen = chosen.map(|(_, endpoint)| *endpoint);
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

  /// What bytes between data halls cost, as a share of what the request is worth.
  #[allow(clippy::cast_precision_loss)]
  fn bytes_loss(stakes: &SelectionCriteria) -> f64 {
    let bytes = (stakes.body_bytes + stakes.answer_bytes) as f64;
    (bytes + Self::HEAD_BYTES) / Self::BYTES_OF_A_REQUEST
  }

  /// What a typical backend server does, for those of which nothing is known.
  fn typical(&self, now: Time, usable: &[&Endpoint]) -> Typical {
    let known: Vec<&View> =
      usable.iter().filter_map(|one| self.views.get(&one.peer.box_id)).collect();
    Typical {
      load: mean(known.iter().filter_map(|view| view.reported(now)).map(|(load, _)| load)),
      service_us: mean(known.iter().map(|view| view.service_us(now)).filter(|us| *us > 0.0)),
    }
  }

  /// The share of the request's worth that is expected to be lost there. Lower is better.
  fn expected_loss(
    &mut self,
    now: Time,
    endpoint: &Endpoint,
    stakes: &SelectionCriteria,
    typical: Typical,
  ) -> f64 {
    let load = self.expected_load(now, endpoint, typical);
    let view = self.view(endpoint);
    let known_us = view.service_us(now);
    let service_us = if known_us > 0.0 { known_us } else { typical.service_us };
    // A full backend server is slower, and beyond that requests wait for one another.
    let crowded = 1.0 + load * load / 2.0;
    #[allow(clippy::cast_precision_loss)]
    let due_us = (stakes.due_ms.max(1) * 1_000) as f64;
    let part = (service_us * crowded + Self::crossing_us(endpoint, stakes)) / due_us;
    let late = (Self::LATE_AT_TARGET * part * part).min(1.0);
    let wait_part = service_us * (load - 1.0).max(0.0) / due_us;
    let refused = (wait_part / Self::WAIT_PART_MAX).min(1.0);
    let failed = view.failure_share(now);
    let failed = if stakes.repeatable { failed * Self::REPEATED_LOSS } else { failed };
    // Equal ones differ by their load.
    late + failed + refused + load * f64::EPSILON
  }

  /// Microseconds that a large body takes to cross the link of a box, on which it is alone at best.
  #[allow(clippy::cast_precision_loss)]
  fn crossing_us(endpoint: &Endpoint, stakes: &SelectionCriteria) -> f64 {
    const BITS_OF_A_BYTE: f64 = 8.0;
    let crosses = stakes.near_box.as_ref().is_some_and(|near| *near != endpoint.peer.box_id);
    if !crosses || endpoint.link_mbps == 0 {
      return 0.0;
    }
    stakes.body_bytes as f64 * BITS_OF_A_BYTE / f64::from(endpoint.link_mbps)
  }

  /// Requests running and waiting there, as a share of the slots: what was reported last, as far as it
  /// is fresh, and the own requests under way at least.
  fn expected_load(&mut self, now: Time, endpoint: &Endpoint, typical: Typical) -> f64 {
    let slots = f64::from(endpoint.slots.max(1));
    let view = self.view(endpoint);
    let (reported, freshness) = view.reported(now).unwrap_or_default();
    let expected = reported * freshness + typical.load * (1.0 - freshness);
    expected.max(f64::from(view.in_flight) / slots)
  }

  fn view(&mut self, endpoint: &Endpoint) -> &mut View {
    let view = self.known(&endpoint.peer.box_id);
    let life = (endpoint.incarnation, endpoint.backend_starts);
    if view.life.is_some_and(|known| known < life) {
      *view = View { in_flight: view.in_flight, ..View::default() };
    }
    view.life = Some(life);
    view
  }

  fn known(&mut self, box_id: &BoxId) -> &mut View {
    if !self.views.contains_key(box_id) {
      self.views.insert(box_id.clone(), View::default());
    }
    self.views.get_mut(box_id).expect("just inserted")
  }

  fn is_ejected(&mut self, now: Time, endpoint: &Endpoint) -> bool {
    self.view(endpoint).ejected_until.is_some_and(|until| now < until)
  }

  /// A try starts. Every start is followed by one [`Balancer::ended`].
  pub fn started(&mut self, box_id: &BoxId) {
    self.known(box_id).in_flight += 1;
  }

  /// A try's head came, or it failed.
  pub fn completed(&mut self, now: Time, box_id: &BoxId, completion: Completion) {
    let view = self.known(box_id);
    match completion {
      Completion::Failed => view.fail(now),
      Completion::Served { condition, latency_us } => view.serve(now, latency_us, condition),
      Completion::Shed { condition } => view.shed(now, condition),
      Completion::Unreachable => view.rest(now),
    }
  }

  /// A try is over, with the last byte of its answer or without.
  pub fn ended(&mut self, box_id: &BoxId) {
    let view = self.known(box_id);
    view.in_flight = view.in_flight.saturating_sub(1);
  }

  /// Whether a backend server told a moment ago that it has room.
  pub fn has_room(&self, now: Time, box_id: &BoxId) -> bool {
    let condition = self.views.get(box_id).and_then(|view| view.condition);
    condition.is_some_and(|(condition, at)| {
      condition.load_percent <= Self::ROOM_PERCENT && now.since_ms(at) <= Self::LOAD_KEPT_MS
    })
  }

  /// Milliseconds that a request takes at a backend server; nothing where that is not known.
  pub fn service_ms(&self, box_id: &BoxId) -> Option<u64> {
    let service_us = self.views.get(box_id).map(View::last_service_us).filter(|us| *us > 0.0)?;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let service_ms = (service_us / 1_000.0).ceil() as u64;
    Some(service_ms)
  }

  /// Tries under way at a backend server.
  pub fn in_flight(&self, box_id: &BoxId) -> u32 {
    self.views.get(box_id).map_or(0, |view| view.in_flight)
  }

  /// Forgets a box that is gone, unless it has something under way.
  pub fn forget(&mut self, box_id: &BoxId) {
    if self.in_flight(box_id) == 0 {
      self.views.remove(box_id);
    }
  }

  /// Forgets boxes that are gone and have nothing under way.
  pub fn retain(&mut self, is_known: impl Fn(&BoxId) -> bool) {
    self.views.retain(|box_id, view| view.in_flight > 0 || is_known(box_id));
  }
}

impl View {
  /// Whether what is known is old, and no request is under way that will bring something newer.
  fn is_outdated(&self, now: Time) -> bool {
    self.in_flight == 0 && now.since_ms(self.known_at) > Balancer::KNOWN_KEPT_MS
  }

  /// Microseconds that a request takes there; 0 where nothing is known any more.
  fn service_us(&self, now: Time) -> f64 {
    if self.is_outdated(now) { 0.0 } else { self.last_service_us() }
  }

  /// Microseconds that a request took there last; 0 where nothing is known.
  fn last_service_us(&self) -> f64 {
    let told_us = self.condition.map_or(0, |(condition, _)| condition.service_us);
    #[allow(clippy::cast_precision_loss)]
    let told_us = told_us as f64;
    if told_us > 0.0 { told_us } else { self.latency_us }
  }

  /// The load that was reported last, as a share of the slots, and how much it still says, from 0
  /// to 1.
  #[allow(clippy::cast_precision_loss)]
  fn reported(&self, now: Time) -> Option<(f64, f64)> {
    let (condition, at) = self.condition?;
    let age_ms = now.since_ms(at);
    let freshness = 1.0 - age_ms as f64 / Balancer::LOAD_KEPT_MS as f64;
    (freshness > 0.0).then(|| (f64::from(condition.load_percent) / 100.0, freshness))
  }

  fn failure_share(&self, now: Time) -> f64 {
    let condition = self.condition.filter(|_| !self.is_outdated(now));
    condition.map_or(0.0, |(condition, _)| f64::from(condition.failures_permille) / 1_000.0)
  }

  /// Rests after several failures in a row. Past the rest one failure is enough for a longer one,
  /// so that the first request is a probe.
  fn fail(&mut self, now: Time) {
    self.failures += 1;
    let is_probe = self.ejections > 0;
    if self.failures < Balancer::FAILURES_MAX && !is_probe {
      return;
    }
    self.rest(now);
  }

  /// Rests from now on, longer each time.
  fn rest(&mut self, now: Time) {
    let pause_ms = Balancer::EJECTION_MIN_MS << self.ejections.min(5);
    self.ejected_until = Some(now.after(pause_ms.min(Balancer::EJECTION_MAX_MS)));
    self.ejections += 1;
  }

  fn serve(&mut self, now: Time, latency_us: Option<u64>, condition: Option<Condition>) {
    self.answered(now);
    self.condition = condition.map(|condition| (condition, now)).or(self.condition);
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
    self.answered(now);
    let known = condition.or(self.condition.map(|(condition, _)| condition)).unwrap_or_default();
    let load_percent = known.load_percent.max(Balancer::SHED_PERCENT);
    self.condition = Some((Condition { load_percent, ..known }, now));
  }

  /// The box can be reached.
  fn answered(&mut self, now: Time) {
    self.known_at = now;
    self.failures = 0;
    self.ejections = 0;
    self.ejected_until = None;
  }
}

/// The mean; 0 of nothing.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
  let (count, sum) = values.fold((0.0, 0.0), |(count, sum), value| (count + 1.0, sum + value));
  if count > 0.0 { sum / count } else { 0.0 }
}
