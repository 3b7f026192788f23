//! Tests the quarantine in a fleet of daemons that learn of crashes and of each other's backend
//! servers with different delays.
//!
//! A request that crashes processes is sent by callers at all boxes in turn, and the processes
//! restart one by one while it is on trial.

mod support;

use {
  ferryyoke::{
    fleet::{Endpoint, EndpointState, RunFinding, RunOutcome},
    requests::{CrashDetector, Quarantine, QuarantineStatus, RunEnd, RunId},
    values::{BoxId, Digest, Fingerprint, Time},
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  support::endpoints::endpoint,
};

/// Milliseconds after the third run after which a run of the crashing request is a late one.
const CONTACT_MS: u64 = 3_000;

/// How many late runs the crashing request may have.
const LATE_MAX: usize = 3;

/// Milliseconds of one step of the simulation.
const STEP_MS: u64 = 10;

/// Milliseconds between two announcements of a box.
const TICK_MS: u64 = 50;

/// A run of the crashing request.
struct Run {
  id: RunId,
  is_on_trial: bool,
  until: Time,
}

/// A box with its daemon and its backend server.
struct SimulatedBox {
  announced: Endpoint,
  crashes: CrashDetector,
  /// When the daemon knows that the next process is ready, if the last one crashed.
  down_until: Option<Time>,
  /// What it will announce next.
  own: Endpoint,
  quarantine: Quarantine,
  runs: Vec<Run>,
  /// The endpoints that its daemon knows.
  view: Vec<Endpoint>,
}

impl SimulatedBox {
  fn is_changed(&self) -> bool {
    self.own.state != self.announced.state || self.own.findings != self.announced.findings
  }
}

/// Endpoints on their way to daemons: when they arrive, at which box, and what.
type Messages = Vec<(Time, usize, Endpoint)>;

struct Fleet {
  boxes: Vec<SimulatedBox>,
  /// Longest delay in milliseconds of an announcement.
  delay_max_ms: u64,
  last_id: u64,
  messages: Messages,
  rng: ChaCha8Rng,
  runs_at: Vec<Time>,
}

impl Fleet {
  fn new(seed: u64) -> Self {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let delay_max_ms = [50, 150, 400][rng.random_range(0..3)];
    let count = rng.random_range(4..9);
    let view: Vec<Endpoint> =
      (0..count).map(|index| endpoint(&format!("box-{index}"), "hall", 8)).collect();
    let simulated = |own: &Endpoint| {
      let mut quarantine = Quarantine::default();
      quarantine.add_findings(Time(0), view.iter());
      let (own, view) = (own.clone(), view.clone());
      let crashes = CrashDetector::default();
      SimulatedBox {
        announced: own.clone(),
        crashes,
        down_until: None,
        own,
        quarantine,
        runs: Vec::new(),
        view,
      }
    };
    let boxes = view.iter().map(simulated).collect();
    let messages = Vec::new();
    Self { boxes, delay_max_ms, last_id: 0, messages, rng, runs_at: Vec::new() }
  }

  /// Announces what changed at a box since its last announcement.
  fn announce_if_changed(&mut self, now: Time, index: usize) {
    let one = &mut self.boxes[index];
    if one.is_changed() {
      one.announced = one.own.clone();
      self.announce(now, index);
    }
  }

  /// Sends what a box announces to all daemons.
  fn announce(&mut self, now: Time, index: usize) {
    self.boxes[index].own.sequence += 1;
    let own = self.boxes[index].own.clone();
    for to in 0..self.boxes.len() {
      let delay_ms = if to == index { 0 } else { self.rng.random_range(5..self.delay_max_ms) };
      self.messages.push((now.after(delay_ms), to, own.clone()));
    }
  }

  fn deliver(&mut self, now: Time) {
    let messages = std::mem::take(&mut self.messages);
    let (due, later): (Messages, Messages) = messages.into_iter().partition(|one| one.0 <= now);
    self.messages = later;
    for (_, to, endpoint) in due {
      let reader = &mut self.boxes[to];
      let known = reader.view.iter_mut().find(|one| one.peer.box_id == endpoint.peer.box_id);
      let known = known.expect("all boxes are known");
      if endpoint.is_newer_than(known) {
        *known = endpoint.clone();
        reader.quarantine.add_findings(now, std::iter::once(&endpoint));
      }
    }
  }

  /// Ends the process of a box, as a run of the crashing request does.
  fn crash(&mut self, now: Time, index: usize) {
    let down_ms = self.rng.random_range(1_200..6_000);
    let one = &mut self.boxes[index];
    for run in std::mem::take(&mut one.runs) {
      one.crashes.end(now, run.id, RunEnd::ConnectionLost);
      if run.is_on_trial {
        one.quarantine.trial_failed(now, guilty());
      }
    }
    let suspects = one.crashes.crashed(now).expect("it ran the request");
    self.last_id += 1;
    one.own.add_finding(RunFinding { id: self.last_id, outcome: RunOutcome::Crashed(suspects) });
    one.own.state = EndpointState::Draining;
    one.down_until = Some(now.after(down_ms));
  }

  /// Ends the runs that are over, and restarts processes.
  fn advance(&mut self, now: Time) {
    for index in 0..self.boxes.len() {
      let one = &mut self.boxes[index];
      if one.down_until.take_if(|until| *until <= now).is_some() {
        one.own.state = EndpointState::Live;
        one.own.backend_starts += 1;
        one.crashes.process_started();
      }
      if one.runs.iter().any(|run| run.until <= now) {
        self.crash(now, index);
      }
    }
  }

  /// A caller's attempt at a box, tried at two boxes at most.
  fn attempt(&mut self, now: Time, index: usize, run_ms: u64) {
    let sender = &self.boxes[index];
    let only = match sender.quarantine.status(now, guilty()) {
      QuarantineStatus::Allowed => None,
      QuarantineStatus::Held { .. } => return,
      QuarantineStatus::OnTrial => trial_box(sender),
    };
    let live: Vec<usize> = (0..self.boxes.len())
      .filter(|at| sender.view[*at].state == EndpointState::Live)
      .filter(|at| only.as_ref().is_none_or(|only| sender.view[*at].peer.box_id == *only))
      .collect();
    if live.is_empty() {
      return;
    }
    let to = live[self.rng.random_range(0..live.len())];
    self.begin(now, to, run_ms);
  }

  fn begin(&mut self, now: Time, index: usize, run_ms: u64) {
    let one = &mut self.boxes[index];
    if one.down_until.is_some() {
      return;
    }
    let is_trial_box = trial_box(one).is_some_and(|chosen| chosen == one.own.peer.box_id);
    let status = one.quarantine.begin_run(now, guilty(), || is_trial_box);
    if matches!(status, QuarantineStatus::Held { .. }) {
      return;
    }
    let is_on_trial = status == QuarantineStatus::OnTrial;
    let id = one.crashes.begin(guilty());
    one.runs.push(Run { id, is_on_trial, until: now.after(run_ms) });
    self.runs_at.push(now);
  }
}

fn guilty() -> Fingerprint {
  Fingerprint::of(&Digest::of(b"guilty"))
}

fn trial_box(one: &SimulatedBox) -> Option<BoxId> {
  let live = one.view.iter().filter(|known| known.state == EndpointState::Live);
  Quarantine::trial_box(guilty(), live.map(|known| &known.peer.box_id)).cloned()
}

/// Guards against a crashing request that is tried at one box after the other: as crashed processes
/// restart one by one, daemons differ on which box is the one for its trial.
#[test]
fn a_crashing_request_reaches_at_most_three_more_while_its_servers_restart() {
  let mut most = 0;
  for seed in 0..200 {
    let mut fleet = Fleet::new(seed);
    let run_ms = [20, 200, 900][fleet.rng.random_range(0..3)];
    let pause_ms = [20, 60, 250][fleet.rng.random_range(0..3)];
    let start = Time(10_000);
    for step in 0..12_000 {
      let now = start.after(step * STEP_MS);
      fleet.deliver(now);
      fleet.advance(now);
      if step * STEP_MS % pause_ms < STEP_MS {
        let count = fleet.boxes.len() as u64;
        let index = usize::try_from(step * STEP_MS / pause_ms % count).expect("small");
        fleet.attempt(now, index, run_ms);
      }
      if (step * STEP_MS).is_multiple_of(TICK_MS) {
        (0..fleet.boxes.len()).for_each(|index| fleet.announce_if_changed(now, index));
      }
    }
    let third_at = *fleet.runs_at.get(2).expect("three runs");
    let late: Vec<u64> = fleet.runs_at.iter().map(|at| at.since_ms(start)).collect();
    let count = fleet.runs_at.iter().filter(|at| at.since_ms(third_at) > CONTACT_MS).count();
    assert!(
      count <= LATE_MAX,
      "seed {seed}: {count} late runs of {run_ms} ms, one every {pause_ms} ms: {late:?}"
    );
    most = most.max(count);
  }
  assert!(most > 0, "an innocent request would never be tried");
}
