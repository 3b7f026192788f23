//! Tests the quarantine of requests that crash backend servers, and of harmless ones that ran
//! beside them.
//!
//! A request that crashed three processes reaches at most three more. A harmless request is served
//! again within three seconds, whatever it ran beside. A suspect is tried again, on one box at a
//! time.

mod support;

use {
  ferryyoke::{
    fleet::{Endpoint, RunFinding, RunOutcome},
    requests::{CrashDetector, Quarantine, QuarantineChange, QuarantineStatus, RunEnd},
    values::{BoxId, Digest, Fingerprint, Time},
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  support::endpoints::endpoint,
};

const START: Time = Time(1_000);

/// Milliseconds within which a harmless request must be allowed again.
const RELEASE_MAX_MS: u64 = 3_000;

fn fingerprint(text: &str) -> Fingerprint {
  Fingerprint::of(&Digest::of(text.as_bytes()))
}

/// A fleet as seen by one daemon.
struct Fleet {
  boxes: Vec<Endpoint>,
  last_id: u64,
  quarantine: Quarantine,
}

impl Fleet {
  fn new() -> Self {
    let boxes: Vec<Endpoint> =
      (0..6).map(|index| endpoint(&format!("box-{index}"), "hall", 8)).collect();
    let mut quarantine = Quarantine::default();
    quarantine.add_findings(Time(0), boxes.iter());
    Self { boxes, last_id: 0, quarantine }
  }

  fn found(&mut self, now: Time, index: usize, what: RunOutcome) -> Vec<QuarantineChange> {
    self.last_id += 1;
    self.boxes[index].add_finding(RunFinding { id: self.last_id, outcome: what });
    self.quarantine.add_findings(now, self.boxes.iter())
  }

  fn crashed(&mut self, now: Time, index: usize, suspects: &[&str]) -> Vec<QuarantineChange> {
    let suspects = suspects.iter().map(|suspect| fingerprint(suspect)).collect();
    self.found(now, index, RunOutcome::Crashed(suspects))
  }

  fn crashed_idle(&mut self, now: Time, boxes: &[usize]) {
    for index in boxes {
      self.crashed(now, *index, &[]);
    }
  }

  fn survived(&mut self, now: Time, index: usize, survivor: &str) -> Vec<QuarantineChange> {
    self.found(now, index, RunOutcome::Survived(vec![fingerprint(survivor)]))
  }

  fn status(&self, now: Time, text: &str) -> QuarantineStatus {
    self.quarantine.status(now, fingerprint(text))
  }
}

#[test]
fn one_crash_holds_no_request() {
  let mut fleet = Fleet::new();
  assert_eq!(fleet.crashed(START, 0, &["guilty", "well"]), []);
  assert_eq!(fleet.status(START, "guilty"), QuarantineStatus::Allowed);
  assert_eq!(fleet.status(START, "well"), QuarantineStatus::Allowed);
}

#[test]
fn a_suspect_of_two_crashes_is_held_until_it_completes() {
  let mut fleet = Fleet::new();
  fleet.crashed(START, 0, &["guilty", "well"]);
  fleet.crashed(START.after(50), 1, &["guilty", "well", "other"]);
  let held = QuarantineStatus::Held { crashes: 2, retry_after_ms: 1_000 };
  assert_eq!(fleet.status(START.after(50), "well"), held);
  assert_eq!(fleet.status(START.after(50), "other"), QuarantineStatus::Allowed);
  assert_eq!(fleet.status(START.after(1_050), "well"), QuarantineStatus::OnTrial);
  let cleared = fleet.survived(START.after(1_200), 2, "well");
  assert_eq!(cleared, [QuarantineChange::Cleared(fingerprint("well"))]);
  assert_eq!(fleet.status(START.after(1_200), "well"), QuarantineStatus::Allowed);
  assert_eq!(fleet.status(START.after(1_200), "guilty"), QuarantineStatus::OnTrial);
}

#[test]
fn a_request_that_completes_between_crashes_is_no_suspect() {
  let mut fleet = Fleet::new();
  for round in 0..5 {
    let now = START.after(round * 100);
    fleet.crashed(now, 0, &["popular", &format!("guilty-{round}")]);
    fleet.survived(now.after(20), 1, "popular");
  }
  assert_eq!(fleet.status(START.after(500), "popular"), QuarantineStatus::Allowed);
}

#[test]
fn one_trial_runs_at_a_time() {
  let mut fleet = Fleet::new();
  for index in 0..2 {
    fleet.crashed(START, index, &["first", "second"]);
  }
  let now = START.after(1_000);
  let quarantine = &mut fleet.quarantine;
  assert_eq!(quarantine.begin_run(now, fingerprint("first"), || true), QuarantineStatus::OnTrial);
  assert!(matches!(
    quarantine.begin_run(now, fingerprint("second"), || true),
    QuarantineStatus::Held { .. }
  ));
  assert!(matches!(
    quarantine.begin_run(now, fingerprint("first"), || true),
    QuarantineStatus::Held { .. }
  ));
  quarantine.trial_ended(fingerprint("first"));
  assert_eq!(quarantine.begin_run(now, fingerprint("second"), || true), QuarantineStatus::OnTrial);
}

/// A daemon that does not yet know of the suspect may send it to any box.
#[test]
fn a_request_on_trial_runs_at_its_trial_box_only() {
  let mut fleet = Fleet::new();
  for index in 0..2 {
    fleet.crashed(START, index, &["guilty"]);
  }
  let now = START.after(1_000);
  let elsewhere = fleet.quarantine.begin_run(now, fingerprint("guilty"), || false);
  assert!(matches!(elsewhere, QuarantineStatus::Held { .. }), "{elsewhere:?}");
  assert_eq!(
    fleet.quarantine.begin_run(now, fingerprint("guilty"), || true),
    QuarantineStatus::OnTrial
  );
}

#[test]
fn a_guilty_request_crashes_at_most_three_more_processes() {
  let mut fleet = Fleet::new();
  // Several attempts run at once before any crash is known.
  for index in 0..5 {
    fleet.crashed(START.after(40 * index as u64), index, &["guilty"]);
  }
  let (mut now, mut late) = (START.after(200), 0);
  // The request is sent every 50 ms for fifty minutes.
  for _ in 0..60_000 {
    now = now.after(50);
    if fleet.quarantine.begin_run(now, fingerprint("guilty"), || true) == QuarantineStatus::OnTrial
    {
      fleet.quarantine.trial_ended(fingerprint("guilty"));
      fleet.crashed(now.after(30), late % 6, &["guilty", &format!("beside-{late}")]);
      late += 1;
    }
  }
  assert_eq!(late, 3, "it gets three more trials");
}

#[test]
fn all_daemons_choose_the_same_trial_box() {
  let boxes: Vec<BoxId> =
    (0..9).map(|index| format!("box-{index}").parse().expect("a name")).collect();
  let tried = fingerprint("guilty");
  let chosen = Quarantine::trial_box(tried, boxes.iter());
  assert!(chosen.is_some());
  assert_eq!(chosen, Quarantine::trial_box(tried, boxes.iter().rev()));
  let without = boxes.iter().filter(|one| Some(*one) != chosen);
  assert_ne!(chosen, Quarantine::trial_box(tried, without));
}

#[test]
fn a_starting_daemon_learns_the_findings_of_the_fleet() {
  let mut fleet = Fleet::new();
  // In box order, the survival is read before the crashes.
  fleet.crashed(START, 3, &["guilty", "well"]);
  fleet.crashed(START, 4, &["guilty", "well"]);
  fleet.survived(START.after(20), 0, "well");
  let mut started = Quarantine::default();
  let now = START.after(60_000);
  let changes = started.add_findings(now, fleet.boxes.iter());
  assert!(changes.contains(&QuarantineChange::Held(fingerprint("guilty"), 2)));
  assert!(matches!(started.status(now, fingerprint("guilty")), QuarantineStatus::Held { .. }));
  assert_eq!(started.status(now, fingerprint("well")), QuarantineStatus::Allowed);
  assert_eq!(started.add_findings(now, fleet.boxes.iter()), [], "nothing is counted twice");
}

/// A thousand crashes, each with other suspects.
#[test]
fn many_guilty_requests_take_bounded_memory() {
  let mut fleet = Fleet::new();
  let mut rng = ChaCha8Rng::seed_from_u64(7);
  for round in 0..1_000_u64 {
    let suspects: Vec<String> = (0..12).map(|_| format!("{}", rng.random::<u64>())).collect();
    let suspects: Vec<&str> = suspects.iter().map(String::as_str).collect();
    fleet.crashed(START.after(round * 200), rng.random_range(0..6), &suspects);
  }
  assert!(fleet.quarantine.len() <= 4_096 + 12, "{} suspects", fleet.quarantine.len());
  let written = serde_json::to_string(&fleet.boxes[0]).expect("JSON").len();
  assert!(written < 8_000, "{written} bytes of findings");
}

/// Harmless requests run at random beside crashing ones.
#[test]
fn a_harmless_request_is_released_within_three_seconds() {
  for seed in 0..200 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new();
    let mut now = START;
    for crash in 0..rng.random_range(1..4) {
      now = now.after(rng.random_range(10..400));
      let beside: Vec<String> =
        (0..8).filter(|_| rng.random_bool(0.4)).map(|n| format!("well-{n}")).collect();
      let mut suspects: Vec<&str> = beside.iter().map(String::as_str).collect();
      suspects.push("guilty");
      fleet.crashed(now, crash % 6, &suspects);
      // Some of the requests that are not held complete on another box; the others do not.
      for one in beside.iter().filter(|_| rng.random_bool(0.5)) {
        if fleet.status(now, one) == QuarantineStatus::Allowed {
          fleet.survived(now.after(5), 5, one);
        }
      }
    }
    for number in 0..8 {
      let name = format!("well-{number}");
      let status = fleet.status(now.after(RELEASE_MAX_MS), &name);
      let crashes = if let QuarantineStatus::Held { crashes, .. } = status { crashes } else { 0 };
      // After three crashes without a completed run in between, it can't be told from the guilty
      // request.
      assert!(crashes == 0 || crashes >= 3, "seed {seed}, {name}: {status:?}");
    }
  }
}

#[test]
fn a_crash_names_exactly_the_running_requests() {
  let mut detector = CrashDetector::default();
  let runs: Vec<_> = ["a", "b", "c", "d"].map(|text| detector.begin(fingerprint(text))).into();
  detector.end(START, runs[0], RunEnd::Completed);
  assert!(detector.end(START.after(10), runs[1], RunEnd::ConnectionLost), "the address is probed");
  assert!(
    !detector.end(START.after(11), runs[2], RunEnd::ConnectionLost),
    "it was probed just before"
  );
  let mut suspects = detector.crashed(START.after(12)).expect("it is new");
  suspects.sort();
  let mut expected = ["b", "c", "d"].map(fingerprint);
  expected.sort();
  assert_eq!(suspects, expected);
  detector.end(START.after(13), runs[3], RunEnd::ConnectionLost);
  assert_eq!(detector.crashed(START.after(900)), None, "a crash is reported once");
}

#[test]
fn a_broken_connection_alone_names_no_suspect() {
  let mut detector = CrashDetector::default();
  let run = detector.begin(fingerprint("a"));
  detector.end(START, run, RunEnd::ConnectionLost);
  assert_eq!(detector.crashed(START.after(20_000)), Some(vec![]), "a later crash is unrelated");
}

#[test]
fn a_planned_exit_names_no_suspect() {
  let mut detector = CrashDetector::default();
  let runs = ["a", "b"].map(|text| detector.begin(fingerprint(text)));
  detector.end(START, runs[0], RunEnd::ConnectionLost);
  detector.record_planned_exit();
  detector.end(START.after(5), runs[1], RunEnd::ConnectionLost);
  assert_eq!(detector.crashed(START.after(10)), None);
}

/// Guards against crashes of another cause that go unseen: a process that ran nothing accuses nobody, and says so once.
#[test]
fn the_crash_of_an_idle_process_is_reported_once() {
  let mut detector = CrashDetector::default();
  assert_eq!(detector.crashed(START), Some(vec![]));
  assert_eq!(detector.crashed(START.after(1_200)), None, "another process is seen in its place");
  detector.process_started();
  assert_eq!(detector.crashed(START.after(2_000)), Some(vec![]), "the next one crashed too");
}

/// Guards against the crash of a guilty request that passes for one of an idle process.
#[test]
fn a_process_that_may_still_run_a_request_is_not_idle() {
  let mut detector = CrashDetector::default();
  let run = detector.begin(fingerprint("under way"));
  assert_eq!(detector.crashed(START), None, "its connection has not broken yet");
  detector.end(START.after(1), run, RunEnd::Cancelled);
  assert_eq!(detector.crashed(START.after(4_000)), None, "the backend server may run it on");
  assert_eq!(detector.crashed(START.after(9_000)), Some(vec![]));
  detector.process_started();
  let unsent = detector.begin(fingerprint("unsent"));
  detector.end(START.after(9_100), unsent, RunEnd::Unsent);
  assert_eq!(detector.crashed(START.after(9_100)), Some(vec![]), "it was refused a connection");
}

/// Contact in milliseconds: from then on after the third crash, a guilty request may run three more times.
const CONTACT_MS: u64 = 3_000;

/// Guards against an innocent request that is held as its tries and trials are hit by crashes of another cause, as in
/// three crashes of the whole fleet, 2 s apart. Each hits it at two boxes, for it is tried again; the others run nothing.
#[test]
fn a_request_that_crashes_of_another_cause_hit_thrice_is_released_within_three_seconds() {
  for idle_after_ms in [0, 20, 1_500] {
    let mut fleet = Fleet::new();
    for round in 0..3 {
      let now = START.after(10_000 + round * 2_000);
      let hit = usize::try_from(round).expect("small");
      let idle: Vec<usize> = (0..6).filter(|index| *index != hit && *index != hit + 1).collect();
      if idle_after_ms == 0 {
        fleet.crashed_idle(now, &idle);
      }
      fleet.crashed(now, hit, &["well"]);
      fleet.crashed(now.after(1), hit + 1, &["well"]);
      if idle_after_ms > 0 {
        fleet.crashed_idle(now.after(idle_after_ms), &idle);
      }
    }
    let status = fleet.status(START.after(14_000 + RELEASE_MAX_MS), "well");
    assert!(!matches!(status, QuarantineStatus::Held { .. }), "{idle_after_ms}: {status:?}");
  }
}

/// Guards against a busy path that is held for long as it ran at many servers when all of them crashed once.
#[test]
fn a_request_that_ran_everywhere_is_tried_soon_after_one_crash_of_all() {
  let mut fleet = Fleet::new();
  for index in 0..6 {
    fleet.crashed(
      START.after(10_000 + index as u64),
      index,
      &["popular", &format!("rare-{index}")],
    );
  }
  let now = START.after(11_100);
  assert!(!matches!(fleet.status(now, "popular"), QuarantineStatus::Held { .. }));
  fleet.survived(now.after(50), 0, "popular");
  assert_eq!(fleet.status(now.after(50), "popular"), QuarantineStatus::Allowed);
}

/// Guards against a guilty request that crashes of another cause excuse: whatever else crashes, and however often it
/// is sent, it runs at most three times later than [`CONTACT_MS`] after its third crash.
#[test]
fn a_guilty_request_is_held_beside_crashes_of_another_cause() {
  let mut most = 0;
  for seed in 0..300 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new();
    let pause_ms = [20, 60, 300, 900, 2_500, 5_000][rng.random_range(0..6)];
    let other_share = [0.0, 0.1, 0.5, 1.0][rng.random_range(0..4)];
    let crash_ms = rng.random_range(5..1_500);
    let mut crashes_at: Vec<Time> = Vec::new();
    let mut runs_at: Vec<Time> = Vec::new();
    let mut pending: Vec<(Time, usize)> = Vec::new();
    let mut now = START.after(10_000);
    // For up to fifty minutes: a request that crashed nothing for an hour is forgotten.
    for step in 0..(3_000_000 / pause_ms).min(20_000) {
      now = now.after(pause_ms);
      let (due, later) = pending.into_iter().partition(|(at, _): &(Time, usize)| *at <= now);
      pending = later;
      for (at, index) in due {
        fleet.crashed(at, index, &["guilty"]);
        fleet.quarantine.trial_ended(fingerprint("guilty"));
        crashes_at.push(at);
      }
      if rng.random_bool(other_share) {
        let other = if rng.random_bool(0.5) { vec![] } else { vec!["other"] };
        fleet.crashed(now, rng.random_range(0..6), &other);
      }
      let status = fleet.quarantine.begin_run(now, fingerprint("guilty"), || true);
      if !matches!(status, QuarantineStatus::Held { .. }) {
        runs_at.push(now);
        pending.push((now.after(crash_ms), usize::try_from(step % 6).expect("small")));
      }
    }
    let third_at = *crashes_at.get(2).expect("three crashes");
    let late = runs_at.iter().filter(|at| at.since_ms(third_at) > CONTACT_MS).count();
    assert!(
      late <= 3,
      "seed {seed}: {late} late runs, one every {pause_ms} ms, {crash_ms} ms each"
    );
    most = most.max(late);
  }
  assert!(most > 0, "an innocent request would never be tried");
}

/// Guards against innocent requests that are refused while one of them is on trial, and against a second run of a
/// guilty one before its crash is known.
#[test]
fn a_request_waits_for_a_trial_of_its_kind_and_for_the_news_of_its_crash() {
  let mut fleet = Fleet::new();
  for index in 0..2 {
    fleet.crashed(START, index, &["suspect"]);
  }
  let (suspect, now) = (fingerprint("suspect"), START.after(1_000));
  assert!(!fleet.quarantine.awaits_trial(now, suspect), "no trial runs");
  assert_eq!(fleet.quarantine.begin_run(now, suspect, || true), QuarantineStatus::OnTrial);
  assert!(fleet.quarantine.awaits_trial(now, suspect));
  assert!(!fleet.quarantine.awaits_trial(now, fingerprint("another")), "it is allowed");
  fleet.quarantine.trial_failed(now.after(30), suspect);
  assert!(fleet.quarantine.awaits_trial(now.after(40), suspect));
  let again = fleet.quarantine.begin_run(now.after(40), suspect, || true);
  assert!(matches!(again, QuarantineStatus::Held { .. }), "{again:?}");
  fleet.crashed(now.after(60), 2, &["suspect"]);
  assert!(!fleet.quarantine.awaits_trial(now.after(60), suspect), "it is held for longer now");
}

#[test]
fn a_request_that_waits_for_a_trial_is_allowed_once_that_completes() {
  let mut fleet = Fleet::new();
  for index in 0..2 {
    fleet.crashed(START, index, &["well"]);
  }
  let (well, now) = (fingerprint("well"), START.after(1_000));
  assert_eq!(fleet.quarantine.begin_run(now, well, || true), QuarantineStatus::OnTrial);
  fleet.quarantine.trial_ended(well);
  assert!(!fleet.quarantine.awaits_trial(now.after(30), well));
  fleet.survived(now.after(50), 0, "well");
  assert_eq!(fleet.quarantine.begin_run(now.after(50), well, || true), QuarantineStatus::Allowed);
}

/// Guards against old crashes that excuse a guilty request: a daemon that starts hears of all of them at once.
#[test]
fn a_starting_daemon_takes_old_crashes_for_no_evidence_of_another_cause() {
  let mut fleet = Fleet::new();
  for index in 0..3 {
    fleet.crashed(START.after(10_000), index, &["guilty"]);
  }
  fleet.crashed_idle(START.after(20_000), &[0, 1, 2, 3, 4, 5]);
  let mut started = Quarantine::default();
  let now = START.after(60_000);
  started.add_findings(now, fleet.boxes.iter());
  let at = now.after(1_100);
  assert_eq!(started.begin_run(at, fingerprint("guilty"), || true), QuarantineStatus::OnTrial);
  fleet.crashed(at.after(20), 0, &["guilty"]);
  started.add_findings(at.after(20), fleet.boxes.iter());
  started.trial_failed(at.after(20), fingerprint("guilty"));
  let status = started.status(at.after(5_000), fingerprint("guilty"));
  assert!(matches!(status, QuarantineStatus::Held { .. }), "{status:?}");
}

/// Guards against trials without end of a guilty request whose callers give up before its trial ends, so that the trial
/// has neither a result nor a crash.
#[test]
fn a_guilty_request_is_held_though_its_trials_are_cancelled() {
  for seed in 0..100 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new();
    for index in 0..3 {
      fleet.crashed(START.after(10_000 + 40 * index as u64), index, &["guilty"]);
    }
    let third_at = START.after(10_080);
    let cancelled_share = [0.3, 0.7, 1.0][rng.random_range(0..3)];
    let (mut now, mut runs_at) = (third_at, Vec::new());
    while now.since_ms(third_at) < 3_000_000 {
      now = now.after(60);
      let status = fleet.quarantine.begin_run(now, fingerprint("guilty"), || true);
      if status != QuarantineStatus::OnTrial {
        continue;
      }
      runs_at.push(now);
      now = now.after(150);
      fleet.quarantine.trial_failed(now, fingerprint("guilty"));
      if !rng.random_bool(cancelled_share) {
        fleet.crashed(now.after(20), runs_at.len() % 6, &["guilty"]);
      }
    }
    let late = runs_at.iter().filter(|at| at.since_ms(third_at) > CONTACT_MS).count();
    assert!(late <= 3, "seed {seed}: {late} late runs, {cancelled_share} of them cancelled");
  }
}

/// Guards against an innocent request that is held for long because the caller of its first trial gave up.
#[test]
fn an_innocent_request_is_tried_soon_after_a_cancelled_trial() {
  let mut fleet = Fleet::new();
  for index in 0..3 {
    fleet.crashed(START.after(10_000), index, &["well"]);
  }
  let (well, now) = (fingerprint("well"), START.after(13_000));
  assert_eq!(fleet.quarantine.begin_run(now, well, || true), QuarantineStatus::OnTrial);
  fleet.quarantine.trial_failed(now.after(100), well);
  let again = now.after(RELEASE_MAX_MS);
  assert_eq!(fleet.quarantine.begin_run(again, well, || true), QuarantineStatus::OnTrial);
}
