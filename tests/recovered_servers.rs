//! Tests in virtual time how soon a backend server that looked slow gets its share of requests again. Several daemons
//! choose on their own, each by what answers told it, and the daemon beside the backend server declines requests while
//! it finds it degraded.

mod support;

use {
  ferryyoke::{
    fleet::Endpoint,
    requests::{BackendMonitor, Balancer, Completion, Condition, SelectionCriteria},
    values::Time,
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  support::endpoints::endpoint,
};

const DAEMONS: usize = 8;
const SERVERS: usize = 4;
const SLOTS: u32 = 8;

/// Milliseconds of one step.
const STEP_MS: u64 = 5;

/// Milliseconds between two requests of a daemon: all together send 123 a second.
const PAUSE_MS: u64 = 65;

/// Milliseconds of a short and of a long run, and how many runs there are for each long one.
const SHORT_MS: u64 = 20;
const LONG_MS: u64 = 300;
const RUNS_PER_LONG: u32 = 6;

/// The backend server that is slow for a while, and by how much.
const SLOW: usize = 1;
const SLOW_FACTOR: u64 = 10;

/// Milliseconds of calm before and of the slow phase.
const CALM_MS: u64 = 10_000;
const SLOW_MS: u64 = 1_500;

/// Milliseconds after the slow phase from which the backend server must have at least half of its share, as in
/// `named_limits.rs` of the soak.
const RECOVERED_MS: u64 = 8_000;

/// Milliseconds of the windows in which runs are counted.
const WINDOW_MS: u64 = 4_000;

struct Run {
  began: Time,
  daemon: usize,
  ends: Time,
}

struct Server {
  began: Vec<Time>,
  endpoint: Endpoint,
  monitor: BackendMonitor,
  runs: Vec<Run>,
}

impl Server {
  fn condition(&self) -> Condition {
    let running = u32::try_from(self.runs.len()).expect("few");
    Condition {
      failures_permille: self.monitor.failures_permille(),
      load_percent: running * 100 / SLOTS,
      service_us: self.monitor.service_us(),
      ..Condition::default()
    }
  }

  /// Returns the runs that began in the window up to `now`.
  fn recent(&self, now: Time) -> usize {
    self.began.iter().filter(|at| now.since_ms(**at) < WINDOW_MS).count()
  }
}

struct Fleet {
  daemons: Vec<Balancer>,
  due_ms: u64,
  rng: ChaCha8Rng,
  servers: Vec<Server>,
}

impl Fleet {
  fn new(seed: u64, due_ms: u64) -> Self {
    let server = |index: usize| Server {
      began: Vec::new(),
      endpoint: endpoint(&format!("box-{index}"), "near", SLOTS),
      monitor: BackendMonitor::default(),
      runs: Vec::new(),
    };
    Self {
      daemons: vec![Balancer::default(); DAEMONS],
      due_ms,
      rng: ChaCha8Rng::seed_from_u64(seed),
      servers: (0..SERVERS).map(server).collect(),
    }
  }

  fn step(&mut self, now: Time, is_slow: bool) {
    for server in &mut self.servers {
      let (ended, running) =
        std::mem::take(&mut server.runs).into_iter().partition(|run| run.ends <= now);
      server.runs = running;
      let ended: Vec<Run> = ended;
      for run in ended {
        #[allow(clippy::cast_precision_loss)]
        server.monitor.record_run(now.since_ms(run.began) as f64, false);
        let (condition, box_id) = (Some(server.condition()), &server.endpoint.peer.box_id);
        let latency_us = Some(now.since_ms(run.began) * 1_000);
        self.daemons[run.daemon].completed(
          now,
          box_id,
          Completion::Served { condition, latency_us },
        );
        self.daemons[run.daemon].ended(box_id);
      }
    }
    for daemon in 0..DAEMONS {
      let offset_ms = PAUSE_MS * daemon as u64 / DAEMONS as u64 / STEP_MS * STEP_MS;
      if (now.0 + offset_ms).is_multiple_of(PAUSE_MS) {
        self.send(now, daemon, is_slow);
      }
    }
  }

  /// Sends a request to the best backend server, and to others where one declines it.
  fn send(&mut self, now: Time, daemon: usize, is_slow: bool) {
    let criteria = SelectionCriteria {
      answer_bytes: 0,
      body_bytes: 0,
      due_ms: self.due_ms,
      near_box: None,
      repeatable: false,
    };
    let work_ms = if self.rng.random_ratio(1, RUNS_PER_LONG) { LONG_MS } else { SHORT_MS };
    let mut tried = Vec::new();
    while tried.len() < SERVERS {
      let candidates: Vec<&Endpoint> = self
        .servers
        .iter()
        .enumerate()
        .filter(|(index, _)| !tried.contains(index))
        .map(|(_, server)| &server.endpoint)
        .collect();
      let near = "near".parse().expect("a name");
      let balancer = &mut self.daemons[daemon];
      let choice = balancer.choose(now, &candidates, &near, &criteria, |_| None, &mut self.rng);
      let chosen = choice.chosen.expect("one is chosen").peer.box_id;
      let is_chosen = |server: &Server| server.endpoint.peer.box_id == chosen;
      let index = self.servers.iter().position(is_chosen).expect("a server");
      let server = &mut self.servers[index];
      let is_declined = server.monitor.decline_reason(now, &mut self.rng).is_some();
      if is_declined && tried.len() + 1 < SERVERS {
        let condition = Some(server.condition());
        self.daemons[daemon].completed(now, &chosen, Completion::Shed { condition });
        tried.push(index);
        continue;
      }
      self.daemons[daemon].started(&chosen);
      let factor = if is_slow && index == SLOW { SLOW_FACTOR } else { 1 };
      server.runs.push(Run { began: now, daemon, ends: now.after(work_ms * factor) });
      server.began.push(now);
      return;
    }
  }
}

/// Returns the milliseconds after its last slow run at which the first window began in which the backend server had half
/// of its share.
fn recovery_ms(seed: u64, due_ms: u64) -> Option<u64> {
  let mut fleet = Fleet::new(seed, due_ms);
  let slow_until = CALM_MS + SLOW_MS;
  let until = slow_until + 60_000;
  let mut well_at = slow_until;
  for now_ms in (0..until).step_by(usize::try_from(STEP_MS).expect("small")) {
    let now = Time(now_ms);
    fleet.step(now, (CALM_MS..slow_until).contains(&now_ms));
    if fleet.servers[SLOW].runs.iter().any(|run| run.began.0 < slow_until) {
      well_at = well_at.max(now_ms);
    }
    let runs: usize = fleet.servers.iter().map(|server| server.recent(now)).sum();
    let is_recovered = fleet.servers[SLOW].recent(now) * SERVERS * 2 >= runs;
    if now_ms > well_at + WINDOW_MS && is_recovered {
      return Some(now_ms - well_at - WINDOW_MS);
    }
  }
  None
}

/// Guards against a backend server that gets almost no requests for long after it looked slow once:
/// daemons that keep its last condition send none, and the daemon beside it declines those that would show its recovery.
#[test]
fn a_backend_server_that_is_well_again_has_its_share_soon() {
  let recoveries =
    |due_ms| -> Vec<Option<u64>> { (0..25).map(|seed| recovery_ms(seed, due_ms)).collect() };
  let all = [400, 2_000].map(recoveries);
  println!("{all:?}");
  let is_soon = |took: &Option<u64>| took.is_some_and(|took| took <= RECOVERED_MS);
  assert!(all.iter().flatten().all(is_soon), "{all:?}");
}

/// Guards against a backend server that gets nothing for seconds, as some long runs in a row make it look slower than
/// the others.
#[test]
fn no_backend_server_goes_without_requests_as_runs_vary() {
  for due_ms in [400, 2_000] {
    let mut least = Vec::new();
    for seed in 0..25 {
      let mut fleet = Fleet::new(seed, due_ms);
      let mut fewest = usize::MAX;
      for now_ms in (0..40_000).step_by(usize::try_from(STEP_MS).expect("small")) {
        fleet.step(Time(now_ms), false);
        if now_ms >= 2 * WINDOW_MS {
          let recent = fleet.servers.iter().map(|server| server.recent(Time(now_ms)));
          fewest = fewest.min(recent.min().expect("servers"));
        }
      }
      least.push(fewest);
    }
    println!("due in {due_ms} ms: {least:?}");
    assert!(least.iter().all(|fewest| *fewest > 0), "due in {due_ms} ms: {least:?}");
  }
}

/// Guards against callers who pay much for finding out that a backend server is still slow: it gets no more than a
/// degraded one runs, a tenth of its share and two requests a second.
#[test]
#[allow(clippy::cast_precision_loss)]
fn a_backend_server_that_stays_slow_gets_few_requests() {
  let share_per_s = (1_000 * DAEMONS as u64) as f64 / (PAUSE_MS as f64 * SERVERS as f64);
  let share_max = 0.1 + 2.0 / share_per_s;
  for due_ms in [400, 2_000] {
    let mut shares = Vec::new();
    for seed in 0..25 {
      let mut fleet = Fleet::new(seed, due_ms);
      for now_ms in (0..60_000).step_by(usize::try_from(STEP_MS).expect("small")) {
        fleet.step(Time(now_ms), now_ms >= CALM_MS);
      }
      let late = |server: &Server| {
        server.began.iter().filter(|at| at.0 >= CALM_MS + WINDOW_MS).count() as f64
      };
      let all: f64 = fleet.servers.iter().map(late).sum();
      shares.push(late(&fleet.servers[SLOW]) * SERVERS as f64 / all);
    }
    println!("due in {due_ms} ms: {shares:.3?}");
    assert!(shares.iter().all(|share| *share <= share_max), "due in {due_ms} ms: {shares:.3?}");
  }
}
