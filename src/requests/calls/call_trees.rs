use super::*;

/// Learns from answers which calls the runs of each route make, and decides by it whether a request
/// is tried whose calls are likely to fail.
#[derive(Clone, Debug, Default)]
pub struct CallTrees {
  routes: BTreeMap<RouteName, CallTree>,
}

/// The calls that runs of one route make.
#[derive(Clone, Debug, Default)]
struct CallTree {
  /// Number of runs, each with a weight that halves each [`CallTrees::HALF_LIFE_MS`].
  runs: f64,
  /// Those of them that failed because a call did, with the same weights.
  failed: f64,
  /// Requests refused since the last one that was tried.
  refused: u32,
  seen_at: Time,
  services: Vec<CalledService>,
}

/// Calls of a route to one service: sums over its runs with their weights, as of `seen_at` of the
/// route.
#[derive(Clone, Debug)]
struct CalledService {
  calls: f64,
  failed: f64,
  service: ServiceName,
  together: f64,
  took_us: f64,
}

impl CallTrees {
  /// Services kept for each route.
  const SERVICES_MAX: usize = 4;
  /// Calls a run below which a service is dropped, so that others have room.
  const CALLS_MIN: f64 = 0.01;
  /// Time in milliseconds over which past runs lose half of their weight.
  const HALF_LIFE_MS: f64 = 1_000.0;
  /// Weight of runs from which their share of failures counts.
  const RUNS_MIN: f64 = 10.0;
  /// The share of runs that failed because of a call above which requests are refused. Above it,
  /// most runs hold a slot and fail in the end.
  const FAILED_MAX: f64 = 0.8;
  /// One of so many requests is tried nevertheless, which shows when calls succeed again.
  const PROBE_EVERY: u32 = 5;

  /// Records a run of a route and the calls that it made. `run_failed` tells that the run itself
  /// ended in a server error.
  pub fn record(&mut self, now: Time, route: &RouteName, calls: &RunCalls, run_failed: bool) {
    if !self.routes.contains_key(route) {
      self.routes.insert(route.clone(), CallTree::default());
    }
    if let Some(tree) = self.routes.get_mut(route) {
      tree.record(now, calls, run_failed);
    }
  }

  /// Returns the thousandths of a call that a run of the route makes to each service; `None` while
  /// no run of it told which calls it made.
  pub fn calls_of(&self, route: &RouteName) -> Option<Vec<(ServiceName, u32)>> {
    let tree = self.routes.get(route).filter(|tree| tree.runs > 0.0)?;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let permille = |calls: f64| (calls / tree.runs * 1_000.0) as u32;
    Some(tree.services.iter().map(|one| (one.service.clone(), permille(one.calls))).collect())
  }

  /// Decides whether a request is tried. `wait_ms` returns the milliseconds until a service has a
  /// slot for a call; `None` where this box does not know.
  pub fn decide(
    &mut self,
    now: Time,
    request: &EntryRequest,
    wait_ms: impl Fn(&ServiceName) -> Option<u64>,
  ) -> EntryDecision {
    let Some(tree) = self.routes.get_mut(request.route) else {
      return EntryDecision::Admit;
    };
    if request.urgency.is_call {
      return EntryDecision::Admit;
    }
    let left_ms = request.deadline.since_ms(now);
    let refusal = tree.full_service(now, left_ms, wait_ms).or_else(|| tree.failing(now, left_ms));
    let Some((reason, time)) = refusal else {
      tree.refused = 0;
      return EntryDecision::Admit;
    };
    tree.refused += 1;
    if tree.refused >= Self::PROBE_EVERY {
      tree.refused = 0;
      return EntryDecision::Admit;
    }
    EntryDecision::Refuse { reason, retry_after_ms: time.retry_after_ms(0.0) }
  }

  /// Returns what runs of a route called; `None` while no run told which calls it made.
  pub fn rows(&self, route: &RouteName) -> Option<Vec<CallRow>> {
    let tree = self.routes.get(route).filter(|tree| tree.runs > 0.0)?;
    Some(tree.services.iter().map(|one| one.row(tree.runs)).collect())
  }

  /// Returns how many recent runs of a route this box knows, and how many percent of them failed
  /// because of a call.
  pub fn runs(&self, now: Time, route: &RouteName) -> (u32, u32) {
    self.routes.get(route).map_or((0, 0), |tree| tree.recent_runs(now))
  }

  /// Drops routes that no longer exist.
  pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
    self.routes.retain(|route, _| is_known(route));
  }

  /// Describes the calls of a route and how they end, for the log.
  pub fn describe(&self, now: Time, route: &RouteName) -> String {
    self.routes.get(route).map_or_else(String::new, |tree| tree.describe(now))
  }
}

impl CallTree {
  fn record(&mut self, now: Time, calls: &RunCalls, run_failed: bool) {
    let kept = self.kept(now);
    self.runs = self.runs * kept + 1.0;
    self.failed = self.failed * kept + f64::from(u8::from(run_failed && calls.has_failed()));
    for one in &mut self.services {
      one.calls *= kept;
      one.failed *= kept;
      one.together *= kept;
      one.took_us *= kept;
    }
    self.seen_at = now;
    let calls_min = self.runs * CallTrees::CALLS_MIN;
    self.services.retain(|one| one.calls >= calls_min);
    for made in calls.services() {
      self.add(made);
    }
  }

  #[allow(clippy::cast_precision_loss)]
  fn add(&mut self, made: &ServiceCalls) {
    let known = self.services.iter().position(|one| one.service == made.service);
    let index = known.unwrap_or(self.services.len());
    if index >= CallTrees::SERVICES_MAX {
      return;
    }
    if known.is_none() {
      let service = made.service.clone();
      let (calls, failed, together, took_us) = (0.0, 0.0, 0.0, 0.0);
      self.services.push(CalledService { calls, failed, service, together, took_us });
    }
    let called = &mut self.services[index];
    called.calls += f64::from(made.count);
    called.failed += f64::from(made.failed);
    called.together += f64::from(made.together);
    called.took_us += made.took_us as f64;
  }

  /// Returns the fraction of their weight that past runs still have.
  #[allow(clippy::cast_precision_loss)]
  fn kept(&self, now: Time) -> f64 {
    (-(now.since_ms(self.seen_at) as f64) / CallTrees::HALF_LIFE_MS).exp2()
  }

  /// Returns why calls can't be in time, and when to return, if a service that runs usually call has
  /// no slot within `left_ms`.
  fn full_service(
    &self,
    now: Time,
    left_ms: u64,
    wait_ms: impl Fn(&ServiceName) -> Option<u64>,
  ) -> Option<(&'static str, ReturnTime)> {
    // Services with more than half a call a run.
    let needed = self.services.iter().filter(|one| one.calls * 2.0 > self.runs);
    let longest_ms = needed.filter_map(|one| wait_ms(&one.service)).max()?;
    let is_known = self.runs * self.kept(now) >= CallTrees::RUNS_MIN;
    let reason = "a service that its run calls has no room in time";
    let wait_ms = Some(longest_ms);
    let time = ReturnTime { kind: RefusalKind::CallsFull, left_ms, wait_ms };
    (is_known && longest_ms > left_ms).then_some((reason, time))
  }

  /// Returns why the request is unlikely to be served, and when to return, if most runs of the route
  /// fail because of a call.
  fn failing(&self, now: Time, left_ms: u64) -> Option<(&'static str, ReturnTime)> {
    let is_known = self.runs * self.kept(now) >= CallTrees::RUNS_MIN;
    let is_failing = is_known && self.failed > self.runs * CallTrees::FAILED_MAX;
    let reason = "calls that its run needs fail at present";
    let time = ReturnTime { kind: RefusalKind::CallsFail, left_ms, wait_ms: None };
    is_failing.then_some((reason, time))
  }

  /// Returns the number of recent runs, and how many percent of them failed because of a call.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn recent_runs(&self, now: Time) -> (u32, u32) {
    let runs = self.runs.max(f64::MIN_POSITIVE);
    ((self.runs * self.kept(now)).round() as u32, (self.failed / runs * 100.0).round() as u32)
  }

  fn describe(&self, now: Time) -> String {
    let (runs, failed_percent) = self.recent_runs(now);
    let summary = format!("{runs} recent runs, {failed_percent}% failed for a call");
    let runs = self.runs.max(f64::MIN_POSITIVE);
    let rows = self.services.iter().map(|one| one.row(runs).to_string());
    std::iter::once(summary).chain(rows).collect::<Vec<String>>().join("; ")
  }
}

impl CalledService {
  /// Describes the calls of runs with the weight `runs`.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn row(&self, runs: f64) -> CallRow {
    let calls = self.calls.max(f64::MIN_POSITIVE);
    let percent = |part: f64| (part / calls * 100.0).round() as u32;
    CallRow {
      failed_percent: percent(self.failed),
      mean_us: (self.took_us / calls).round() as u64,
      permille: (self.calls / runs * 1_000.0).round() as u32,
      service: self.service.clone(),
      together_percent: percent(self.together),
    }
  }
}
