//! Tests that a request with an idempotency key runs at most once, against an oracle that counts
//! the runs.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    fake::Keyspace,
    requests::{Claim, ClaimOutcome, ClaimState, ClaimStep, ClaimTicket},
    store::{self, Refusal, Reply, Revision, StoreRequest},
    values::{Digest, Time},
  },
  std::collections::{BTreeMap, BTreeSet},
  support::histories,
};

/// Number of random histories.
const HISTORIES: u64 = 2_000;

/// Milliseconds until the deadline of a claim.
const CLAIM_TIMEOUT_MS: u64 = 400;

/// Milliseconds for which a claimer waits for the store's answer.
const STORE_TIMEOUT_MS: u64 = 100;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
  Ended,
  Recording,
  Releasing,
  Running { revision: Revision },
  Taking,
}

/// A daemon that handles one request with a key.
struct Claimer {
  claim: Claim,
  key: usize,
  /// The first settlement of the claim.
  settlement: Option<ClaimOutcome>,
  /// Until when its process is paused.
  paused_until: u64,
  stage: Stage,
}

enum Event {
  Answer { claimer: usize, result: store::Result<Reply> },
  Execute { answers: bool, claimer: usize, request: StoreRequest },
  Finish { claimer: usize },
  Resume { claimer: usize },
}

#[derive(Default)]
struct World {
  claimers: Vec<Claimer>,
  is_down: bool,
  keyspace: Keyspace,
  lost_percent: u8,
  now: u64,
  queue: BTreeMap<(u64, u64), Event>,
  /// Keys of claimers that died or could not record the outcome, which may stay unknown for ever.
  lost: BTreeSet<usize>,
  /// Runs of each key.
  runs: BTreeMap<usize, u32>,
  sequence: u64,
  slow_ms: u64,
}

/// Returns the answer to a key's request, which every repetition must get too.
fn answer_of(key: usize) -> ClaimState {
  ClaimState::Done { body: Some(format!("answer {key}")), content_type: None, status: 200 }
}

impl World {
  fn schedule(&mut self, delay_ms: u64, event: Event) {
    self.sequence += 1;
    self.queue.insert((self.now + delay_ms, self.sequence), event);
  }

  fn arrive(&mut self, key: usize, content: u8, seed: u64) {
    let claimer = self.claimers.len();
    let ticket = ClaimTicket {
      attempt: format!("attempt-{claimer}"),
      content: Digest::of(&[u8::try_from(key).expect("few keys"), content]),
      key: format!("key-{key}").parse().expect("a name"),
      service: "certification".parse().expect("a name"),
    };
    let mut claim = Claim::new(ticket, Time(self.now + CLAIM_TIMEOUT_MS), self.now, seed);
    let step = claim.take();
    self.claimers.push(Claimer {
      claim,
      key,
      paused_until: 0,
      settlement: None,
      stage: Stage::Taking,
    });
    self.act(claimer, step);
  }

  fn act(&mut self, claimer: usize, step: ClaimStep) {
    match step {
      ClaimStep::Call(request) => self.call(claimer, request),
      ClaimStep::Settled(settlement) => self.settled(claimer, settlement),
      ClaimStep::Wait { pause_ms } => self.schedule(pause_ms, Event::Resume { claimer }),
    }
  }

  /// Calls the store. The call may be lost, take effect after its caller gave up, or lose its
  /// answer.
  fn call(&mut self, claimer: usize, request: StoreRequest) {
    let unknown = || Err(store::Error::Unknown { reason: "no answer".into() });
    let chance = u8::try_from((self.sequence * 37 + self.now) % 100).expect("below 100");
    if self.is_down {
      let refused = Err(Refusal::Unreachable { reason: "down".into() }.into());
      let result = if chance < 50 { refused } else { unknown() };
      return self.schedule(5, Event::Answer { claimer, result });
    }
    let delay_ms = 2 + self.slow_ms;
    let answers = chance >= self.lost_percent && delay_ms < STORE_TIMEOUT_MS;
    if !answers {
      self.schedule(STORE_TIMEOUT_MS, Event::Answer { claimer, result: unknown() });
    }
    self.schedule(delay_ms, Event::Execute { answers, claimer, request });
  }

  fn settled(&mut self, claimer: usize, settlement: ClaimOutcome) {
    let key = self.claimers[claimer].key;
    let stage = self.claimers[claimer].stage;
    self.claimers[claimer].stage = Stage::Ended;
    self.claimers[claimer].settlement.get_or_insert(settlement.clone());
    if matches!(settlement, ClaimOutcome::Unrecorded { .. }) {
      self.lost.insert(key);
    }
    match settlement {
      ClaimOutcome::Held(revision) => {
        assert_eq!(stage, Stage::Taking);
        self.claimers[claimer].stage = Stage::Running { revision };
        self.schedule(20, Event::Finish { claimer });
      }
      ClaimOutcome::NotRun { .. } => {
        self.claimers[claimer].stage = Stage::Releasing;
        let deadline = Time(self.now + 10 * CLAIM_TIMEOUT_MS);
        let step = self.claimers[claimer].claim.release(deadline, self.now);
        self.act(claimer, step);
      }
      ClaimOutcome::Repeated(ClaimState::Done { body, .. }) => {
        assert_eq!(body, Some(format!("answer {key}")));
        assert_eq!(self.runs.get(&key), Some(&1), "key {key} has an answer, so it ran");
      }
      ClaimOutcome::Mismatch
      | ClaimOutcome::Recorded
      | ClaimOutcome::Repeated(_)
      | ClaimOutcome::Unrecorded { .. } => {}
    }
  }

  /// Ends the run, in which the request ran or certainly did not, and starts to record the outcome.
  fn finish(&mut self, claimer: usize) {
    let Stage::Running { revision } = self.claimers[claimer].stage else {
      return;
    };
    let key = self.claimers[claimer].key;
    let runs = !self.sequence.is_multiple_of(4);
    let state = if runs {
      let count = self.runs.entry(key).or_default();
      *count += 1;
      assert_eq!(*count, 1, "key {key} ran twice");
      answer_of(key)
    } else {
      ClaimState::Released
    };
    self.claimers[claimer].stage = Stage::Recording;
    let deadline = Time(self.now + CLAIM_TIMEOUT_MS);
    let step = self.claimers[claimer].claim.record(state, revision, deadline, self.now);
    self.act(claimer, step);
  }

  fn run_until(&mut self, until: u64) {
    while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
      let ((at, _), event) = entry.remove_entry();
      self.now = at;
      self.handle(event);
    }
    self.now = until;
  }

  fn handle(&mut self, event: Event) {
    let claimer = match &event {
      Event::Answer { claimer, .. } | Event::Finish { claimer } | Event::Resume { claimer } => {
        Some(*claimer)
      }
      Event::Execute { .. } => None,
    };
    if let Some(claimer) = claimer {
      if self.claimers[claimer].stage == Stage::Ended {
        return;
      }
      let paused_until = self.claimers[claimer].paused_until;
      if paused_until > self.now {
        return self.schedule(paused_until - self.now, event);
      }
    }
    match event {
      Event::Answer { claimer, result } => {
        let step = self.claimers[claimer].claim.answered(Time(self.now), result);
        self.act(claimer, step);
      }
      Event::Execute { answers, claimer, request } => {
        let result = self.keyspace.call(Time(self.now), &request).map_err(store::Error::Refused);
        if answers {
          self.schedule(1, Event::Answer { claimer, result });
        }
      }
      Event::Finish { claimer } => self.finish(claimer),
      Event::Resume { claimer } => {
        let step = self.claimers[claimer].claim.resumed();
        self.act(claimer, step);
      }
    }
  }
}

fn step(u: &mut Unstructured, world: &mut World) -> Result<()> {
  match u.int_in_range(0..=9)? {
    0..=4 => world.arrive(u.int_in_range(0..=2)?, u8::from(u.ratio(1, 8)?), u.arbitrary()?),
    5 => world.is_down = u.ratio(1, 3)?,
    6 => world.lost_percent = u.int_in_range(0..=60)?,
    7 => world.slow_ms = u.int_in_range(0..=300)?,
    8 if !world.claimers.is_empty() => {
      let claimer = u.choose_index(world.claimers.len())?;
      world.claimers[claimer].paused_until = world.now + u.int_in_range(0..=3_000)?;
    }
    9 if !world.claimers.is_empty() => {
      // The daemon dies, but the calls that it sent may still take effect.
      let claimer = u.choose_index(world.claimers.len())?;
      if world.claimers[claimer].stage != Stage::Ended {
        world.lost.insert(world.claimers[claimer].key);
      }
      world.claimers[claimer].stage = Stage::Ended;
    }
    _ => {}
  }
  Ok(())
}

/// Checks that a key whose outcome is not lost either runs now or has its answer.
fn check_usable(world: &mut World, key: usize) {
  world.arrive(key, 0, 5);
  world.run_until(world.now + 5_000);
  let settlement = world.claimers.last().and_then(|last| last.settlement.clone());
  let is_usable = matches!(
    settlement,
    Some(
      ClaimOutcome::Held(_)
        | ClaimOutcome::Mismatch
        | ClaimOutcome::Repeated(ClaimState::Done { .. })
    )
  );
  assert!(is_usable, "key {key} is stuck: {settlement:?}");
}

#[test]
fn a_key_runs_at_most_once() {
  let mut runs = 0;
  histories(HISTORIES, |u| {
    let mut world = World::default();
    for _ in 0..30 {
      step(u, &mut world)?;
      world.run_until(world.now + u.int_in_range(0..=150)?);
    }
    world.is_down = false;
    world.lost_percent = 0;
    world.slow_ms = 0;
    world.run_until(world.now + 20_000);
    for key in (0..=2).filter(|key| !world.lost.contains(key)).collect::<Vec<_>>() {
      check_usable(&mut world, key);
    }
    runs += world.runs.len();
    Ok(())
  });
  assert!(runs > 2_000, "only {runs} keys ran in all histories");
}

#[test]
fn the_same_key_with_another_request_is_refused() {
  let mut world = World::default();
  world.arrive(0, 0, 1);
  world.run_until(1_000);
  let ticket = ClaimTicket {
    attempt: "another".into(),
    content: Digest::of(b"another request"),
    key: "key-0".parse().expect("a name"),
    service: "certification".parse().expect("a name"),
  };
  let mut claim = Claim::new(ticket, Time(2_000), 0, 1);
  let mut step = claim.take();
  let settlement = loop {
    step = match step {
      ClaimStep::Call(request) => {
        let result = world.keyspace.call(Time(1_000), &request).map_err(store::Error::Refused);
        claim.answered(Time(1_000), result)
      }
      ClaimStep::Settled(settlement) => break settlement,
      ClaimStep::Wait { .. } => claim.resumed(),
    };
  };
  assert_eq!(settlement, ClaimOutcome::Mismatch);
}
