use super::*;

/// Chooses a backend server for each try.
///
/// What this daemon saw itself comes first: its own requests under way and their latencies. The
/// load that a backend server reports only tips the scale. Two candidates are drawn at random and
/// the better one is taken; the own data hall is preferred until it is clearly slower.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
  views: BTreeMap<BoxId, View>,
}

/// What this daemon saw of one backend server.
#[derive(Clone, Debug)]
struct View {
  ejected_until: Option<Time>,
  /// Ejections in a row.
  ejections: u32,
  /// Failures in a row.
  failures: u32,
  first_seen: Time,
  in_flight: u32,
  /// A moving average in microseconds, quick to rise.
  latency_us: f64,
  /// The reported load in percent of slots, and when it was reported.
  load: Option<(u32, Time)>,
}

/// What a choice came to.
#[derive(Clone, Debug)]
pub struct Choice {
  /// The backend server; nothing where none may be used.
  pub chosen: Option<Endpoint>,
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
  /// First pause of a failing backend server.
  const EJECTION_MIN_MS: u64 = 1_000;
  /// Longest pause of a failing backend server.
  const EJECTION_MAX_MS: u64 = 30_000;
  /// Failures in a row after which a backend server rests.
  const FAILURES_MAX: u32 = 3;
  /// Microseconds assumed of a backend server that has not answered yet.
  const LATENCY_ASSUMED_US: f64 = 2_000.0;
  /// Milliseconds for which a reported load counts.
  const LOAD_KEPT_MS: u64 = 1_000;
  /// Milliseconds over which a new backend server comes up to its full share.
  const SLOW_START_MS: u64 = 5_000;
  /// Load in percent up to which a backend server counts as one with room.
  const ROOM_PERCENT: u32 = 70;
  /// How many times slower the own data hall may be before another one is taken.
  const SPILL_RATIO: f64 = 2.0;

  /// Chooses among the backend servers of a service.
  pub fn choose(
    &mut self,
    now: Time,
    candidates: &[&Endpoint],
    data_hall: &DataHall,
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
      } else if self.is_ejected(now, &endpoint.peer.box_id) {
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
    let chosen = self.pick(now, &usable, data_hall, rng, &mut verdicts);
    Choice { chosen: chosen.cloned(), verdicts }
  }

  fn pick<'a>(
    &mut self,
    now: Time,
    usable: &[&'a Endpoint],
    data_hall: &DataHall,
    rng: &mut ChaCha8Rng,
    verdicts: &mut Vec<(BoxId, Verdict)>,
  ) -> Option<&'a Endpoint> {
    let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) =
      usable.iter().partition(|endpoint| endpoint.peer.data_hall == *data_hall);
    let near_best = self.better_of_two(now, &near, rng);
    let far_best = self.better_of_two(now, &far, rng);
    let chosen = match (near_best, far_best) {
      (Some(near), Some(far)) if near.0 > Self::SPILL_RATIO * far.0 => Some(far),
      (Some(near), _) => Some(near),
      (None, far) => far,
    };
    let chosen = chosen.map(|(_, endpoint)| endpoint);
    let compared: Vec<&BoxId> = [near_best, far_best]
      .into_iter()
      .flatten()
      .map(|(_, endpoint)| &endpoint.peer.box_id)
      .collect();
    for endpoint in usable {
      let box_id = &endpoint.peer.box_id;
      let verdict = match chosen {
        Some(chosen) if chosen.peer.box_id == *box_id => Verdict::Chosen,
        _ if compared.contains(&box_id) => Verdict::Loaded,
        _ => Verdict::NotCompared,
      };
      verdicts.push((box_id.clone(), verdict));
    }
    chosen
  }

  fn better_of_two<'a>(
    &mut self,
    now: Time,
    endpoints: &[&'a Endpoint],
    rng: &mut ChaCha8Rng,
  ) -> Option<(f64, &'a Endpoint)> {
    let drawn = endpoints.choose_multiple(rng, 2);
    let scored = drawn.map(|endpoint| (self.score(now, endpoint), *endpoint));
    scored.min_by(|(score, _), (other, _)| score.total_cmp(other))
  }

  /// Microseconds that a request would take there, by what is known. Lower is better.
  fn score(&mut self, now: Time, endpoint: &Endpoint) -> f64 {
    let view = self.view(now, &endpoint.peer.box_id);
    let waiting = f64::from(view.in_flight + 1);
    let fresh_load = view.load.filter(|(_, at)| now.since_ms(*at) <= Self::LOAD_KEPT_MS);
    let reported = fresh_load.map_or(0.0, |(percent, _)| f64::from(percent.min(400)) / 100.0);
    let age_ms = now.since_ms(view.first_seen);
    #[allow(clippy::cast_precision_loss)]
    let warmth = (age_ms as f64 / Self::SLOW_START_MS as f64).clamp(0.1, 1.0);
    view.latency_us * (waiting + reported) / warmth
  }

  fn view(&mut self, now: Time, box_id: &BoxId) -> &mut View {
    if !self.views.contains_key(box_id) {
      self.views.insert(box_id.clone(), View::new(now));
    }
    self.views.get_mut(box_id).expect("just inserted")
  }

  fn is_ejected(&self, now: Time, box_id: &BoxId) -> bool {
    let until = self.views.get(box_id).and_then(|view| view.ejected_until);
    until.is_some_and(|until| now < until)
  }

  /// A try starts. Every start is followed by one [`Balancer::ended`].
  pub fn started(&mut self, now: Time, box_id: &BoxId) {
    self.view(now, box_id).in_flight += 1;
  }

  /// A try's head came, or it failed.
  pub fn completed(&mut self, now: Time, box_id: &BoxId, completion: Completion) {
    let view = self.view(now, box_id);
    match completion {
      Completion::Failed => view.fail(now),
      Completion::Served { latency_us, load_percent } => view.serve(now, latency_us, load_percent),
      Completion::Shed => view.load = Some((400, now)),
    }
  }

  /// A try is over, with the last byte of its answer or without.
  pub fn ended(&mut self, now: Time, box_id: &BoxId) {
    let view = self.view(now, box_id);
    view.in_flight = view.in_flight.saturating_sub(1);
  }

  /// Whether a backend server told a moment ago that it has room.
  pub fn has_room(&self, now: Time, box_id: &BoxId) -> bool {
    let load = self.views.get(box_id).and_then(|view| view.load);
    load.is_some_and(|(percent, at)| {
      percent <= Self::ROOM_PERCENT && now.since_ms(at) <= Self::LOAD_KEPT_MS
    })
  }

  /// Tries under way at a backend server.
  pub fn in_flight(&self, box_id: &BoxId) -> u32 {
    self.views.get(box_id).map_or(0, |view| view.in_flight)
  }

  /// Forgets boxes that are gone and have nothing under way.
  pub fn retain(&mut self, is_known: impl Fn(&BoxId) -> bool) {
    self.views.retain(|box_id, view| view.in_flight > 0 || is_known(box_id));
  }
}

impl View {
  fn new(now: Time) -> Self {
    Self {
      ejected_until: None,
      ejections: 0,
      failures: 0,
      first_seen: now,
      in_flight: 0,
      latency_us: Balancer::LATENCY_ASSUMED_US,
      load: None,
    }
  }

  /// Rests after several failures in a row. Past the rest one failure is enough for a longer one,
  /// so that the first request is a probe.
  fn fail(&mut self, now: Time) {
    self.failures += 1;
    let is_probe = self.ejections > 0;
    if self.failures < Balancer::FAILURES_MAX && !is_probe {
      return;
    }
    let pause_ms = Balancer::EJECTION_MIN_MS << self.ejections.min(5);
    self.ejected_until = Some(now.after(pause_ms.min(Balancer::EJECTION_MAX_MS)));
    self.ejections += 1;
  }

  fn serve(&mut self, now: Time, latency_us: u64, load_percent: Option<u32>) {
    self.failures = 0;
    self.ejections = 0;
    self.ejected_until = None;
    self.load = load_percent.map(|percent| (percent, now)).or(self.load);
    #[allow(clippy::cast_precision_loss)]
    let seen_us = latency_us as f64;
    let weight = if seen_us > self.latency_us { 0.5 } else { 0.1 };
    self.latency_us += weight * (seen_us - self.latency_us);
  }
}
