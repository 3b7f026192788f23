//! The soak test itself: its plans, the violations that its checks detect, and one short run.

use {
  ferryyoke_soak::{Attempt, Fault, Kind, Outcome, Plan, Probe, Record, Run},
  std::process::Command,
};

#[test]
fn a_seed_gives_the_same_plan_each_time() {
  assert_eq!(Plan::of(7, 6, 30_000), Plan::of(7, 6, 30_000));
  assert_ne!(Plan::of(7, 6, 30_000), Plan::of(8, 6, 30_000));
}

#[test]
fn plans_have_every_kind_of_fault_and_end_in_time() {
  let mut kinds = std::collections::BTreeSet::new();
  for seed in 0..50 {
    for step in Plan::of(seed, 6, 30_000).steps {
      assert!(step.at_ms + Plan::QUIET_END_MS < 30_000, "{step:?}");
      let text = format!("{:?}", step.fault);
      kinds.insert(text.split([' ', '{', '(']).next().unwrap_or_default().to_string());
    }
  }
  assert_eq!(kinds.len(), 21, "{kinds:?}");
  assert!(kinds.contains(format!("{:?}", Fault::Change).as_str()));
}

fn attempt(kind: Kind, outcome: Outcome) -> Attempt {
  let (sent_ms, ended_ms, time_left_ms) = (10_000, 10_100, 1_000);
  Attempt { ended_ms, id: "one".into(), index: 0, kind, outcome, sent_ms, time_left_ms }
}

fn run(at_ms: u64) -> Run {
  let (instance, request_id) = ("i-1".into(), "one".into());
  Run { at_ms, has_key: false, instance, organisation: None, request_id }
}

fn promises(record: &mut Record) -> Vec<&'static str> {
  record.check().into_iter().map(|violation| violation.promise).collect()
}

#[test]
fn a_second_run_of_a_request_that_may_run_once_is_detected() {
  let check = |kind| {
    let attempts = vec![attempt(kind, Outcome::Answered)];
    promises(&mut Record { attempts, runs: vec![run(1), run(2)], ..Record::default() })
  };
  assert_eq!(check(Kind::Send), ["runs at most once"]);
  assert_eq!(check(Kind::Read), [""; 0]);
}

#[test]
fn a_refusal_of_a_request_that_ran_is_detected() {
  let attempts = vec![attempt(Kind::Send, Outcome::NotRun(503))];
  let mut record = Record { attempts, runs: vec![run(1)], ..Record::default() };
  assert_eq!(promises(&mut record), ["a refusal says that it did not run"]);
}

#[test]
fn work_after_a_drain_is_detected() {
  let mut record = Record { runs: vec![run(3_000), run(12_000)], ..Record::default() };
  record.left.insert("i-1".into(), 9_000);
  assert_eq!(promises(&mut record), ["no work after a drain"]);
}

#[test]
fn a_crashing_request_that_is_not_held_back_is_detected_at_connected_boxes() {
  let ending = |at_ms: u64| Run { request_id: format!("ends-1-0-{at_ms}"), ..run(at_ms) };
  let with = |late: u64| {
    let early = [1_000, 1_100, 1_200].map(ending);
    let runs = early.into_iter().chain((0..late).map(|number| ending(6_000 + number))).collect();
    Record { crashing_requests: 1, runs, ..Record::default() }
  };
  assert_eq!(promises(&mut with(3)), [""; 0]);
  assert_eq!(promises(&mut with(4)), ["a request that ends servers is held back"]);
  let mut faulty = with(4);
  faulty.box_faults.entry(0).or_default().add_moment(5_000);
  assert_eq!(promises(&mut faulty), [""; 0]);
}

fn probe(sent_ms: u64, route: usize, known: bool) -> Probe {
  Probe { index: 0, known, life: 1, route, sent_ms }
}

#[test]
fn an_older_configuration_is_detected_also_during_faults() {
  let probes = vec![probe(5_000, 2, true), probe(5_200, 1, false)];
  let mut record = Record { changes: vec![0, 4_000, 4_500], probes, ..Record::default() };
  record.box_faults.entry(0).or_default().begin(0);
  assert_eq!(promises(&mut record), ["never an older configuration"]);
}

#[test]
fn a_late_change_is_detected_at_a_connected_box() {
  let late = || Record {
    changes: vec![0, 10_000],
    probes: vec![probe(13_000, 1, false)],
    ..Record::default()
  };
  assert_eq!(promises(&mut late()), ["a change is in force in time"]);
  let mut faulty = late();
  faulty.box_faults.entry(0).or_default().add_moment(8_000);
  assert_eq!(promises(&mut faulty), [""; 0]);
  let mut stopped = late();
  stopped.planned.entry(0).or_default().add_moment(8_000);
  assert_eq!(promises(&mut stopped), [""; 0]);
}

#[test]
fn a_cut_by_a_planned_stop_is_detected_if_the_request_ran() {
  let cut = |runs| {
    let attempts = vec![attempt(Kind::Read, Outcome::Cut)];
    promises(&mut Record { attempts, runs, stops: vec![(0, 10_050)], ..Record::default() })
  };
  assert_eq!(cut(vec![run(10_020)]), ["a planned stop cuts nothing"]);
  assert_eq!(cut(Vec::new()), [""; 0]);
}

#[test]
fn a_hanging_request_is_detected() {
  let late = Attempt { ended_ms: 20_000, ..attempt(Kind::Read, Outcome::Failed(504)) };
  assert_eq!(
    promises(&mut Record { attempts: vec![late], ..Record::default() }),
    ["nothing hangs"]
  );
}

/// Runs real daemons with four seconds of faults, and checks that everything works again afterwards.
#[test]
fn a_short_run_has_no_violations() {
  let output = Command::new(env!("CARGO_BIN_EXE_ferryyoke-soak"))
    .args(["--first", "1", "--count", "1", "--boxes", "4", "--seconds", "14"])
    .output()
    .expect("the soak test starts");
  let text = String::from_utf8_lossy(&output.stdout);
  assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
}
