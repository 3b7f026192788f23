//! How a daemon handles the reports of its backend server: late ones, those of processes that left or restarted under
//! the same id, and those of other senders.

mod support;

use ferryyoke::{
  fleet::{BackendRecord, BackendReport, BackendState, Process, ReportOutcome},
  values::{InstanceId, ServiceName, StartTime, Time},
};

fn report(instance: &str, sequence: u64, leaving: bool) -> BackendReport {
  report_of(process(instance, None), sequence, leaving)
}

fn report_of(process: Process, sequence: u64, leaving: bool) -> BackendReport {
  let service = "archive".parse().expect("a name");
  BackendReport { cold_left_ms: 0, leaving, process, sequence, service, slots: 12, software: None }
}

fn process(id: &str, started_at: Option<u64>) -> Process {
  Process { started_at: started_at.map(StartTime), id: instance(id) }
}

fn instance(name: &str) -> InstanceId {
  name.parse().expect("a name")
}

/// The record of a process that the health endpoint named and that has reported since.
fn known(name: &str, sequence: u64) -> BackendRecord {
  let mut record = BackendRecord::default();
  record.health_checked(Time(0), &instance(name), None);
  assert_eq!(record.reported(Time(0), &report(name, sequence, false)), ReportOutcome::Accepted);
  record
}

#[test]
fn a_late_report_reverts_nothing() {
  assert_eq!(BackendRecord::default().state(), BackendState::Unknown);
  let mut record = known("i-1", 5);
  assert_eq!(record.state(), BackendState::Ready);
  assert_eq!(record.reported(Time(1), &report("i-1", 7, true)), ReportOutcome::Accepted);
  assert_eq!(
    record.reported(Time(2), &report("i-1", 6, false)),
    ReportOutcome::Stale,
    "it was sent before the drain"
  );
  assert_eq!(record.state(), BackendState::Leaving);
  assert_eq!(record.reported(Time(3), &report("i-1", 8, false)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Leaving, "a leaving process is never ready again");
  record.health_checked(Time(4), &instance("i-1"), None);
  assert_eq!(record.state(), BackendState::Leaving, "even if the health endpoint names it");
}

#[test]
fn a_late_report_does_not_revive_a_deregistered_process() {
  let mut record = known("i-1", 5);
  record.deregistered(&process("i-1", None));
  assert_eq!(record.state(), BackendState::Leaving);
  assert_eq!(record.reported(Time(1), &report("i-1", 6, false)), ReportOutcome::Stale);
  assert_eq!(
    record.reported(Time(2), &report("i-2", 1, false)),
    ReportOutcome::Accepted,
    "its successor"
  );
  record.health_checked(Time(2), &instance("i-2"), None);
  assert_eq!(record.state(), BackendState::Ready);
  assert_eq!(
    record.reported(Time(3), &report("i-1", 9, false)),
    ReportOutcome::Stale,
    "the previous process, late"
  );
  assert_eq!(record.process(), Some(&process("i-2", None)));
}

#[test]
fn a_new_daemon_trusts_the_health_endpoint_until_the_first_report() {
  let mut record = BackendRecord::default();
  assert!(record.needs_health_check());
  record.health_checked(Time(0), &instance("i-1"), None);
  assert_eq!(record.state(), BackendState::Ready);
  assert!(!record.needs_health_check());
  record.became_unreachable();
  assert_eq!(record.state(), BackendState::Unknown);
  assert_eq!(record.reported(Time(0), &report("i-1", 3, false)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Ready);
  record.health_checked(Time(0), &instance("i-9"), None);
  assert_eq!(record.process(), Some(&process("i-1", None)));
}

/// A previous incarnation of the daemon may have acknowledged that the process leaves.
#[test]
fn one_report_does_not_confirm_a_process_to_a_new_daemon() {
  let mut record = BackendRecord::default();
  assert_eq!(record.reported(Time(0), &report("i-1", 5, false)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Unknown, "it may have been sent before a drain");
  assert_eq!(record.reported(Time(1), &report("i-1", 4, false)), ReportOutcome::Stale);
  assert_eq!(record.reported(Time(500), &report("i-1", 6, false)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Unknown);
  assert_eq!(record.reported(Time(1_000), &report("i-1", 7, false)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Ready, "late reports come one or two at a time");
}

#[test]
fn a_new_daemon_accepts_at_once_that_a_process_leaves() {
  let mut record = BackendRecord::default();
  assert_eq!(record.reported(Time(0), &report("i-1", 5, true)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Leaving);
  assert_eq!(record.reported(Time(1), &report("i-1", 4, false)), ReportOutcome::Stale);
  assert_eq!(record.state(), BackendState::Leaving);
}

#[test]
fn a_late_report_of_an_unknown_process_does_not_displace_the_running_one() {
  let mut record = known("i-2", 1);
  assert_eq!(
    record.reported(Time(1), &report("i-1", 90, false)),
    ReportOutcome::Accepted,
    "from before this incarnation"
  );
  assert_eq!(
    (record.process(), record.state()),
    (Some(&process("i-2", None)), BackendState::Ready)
  );
  assert!(record.needs_health_check());
  record.health_checked(Time(2), &instance("i-2"), None);
  assert!(!record.needs_health_check(), "no further health checks");
  assert_eq!(record.reported(Time(3), &report("i-2", 2, false)), ReportOutcome::Accepted);
  assert_eq!(record.reported(Time(4), &report("i-1", 91, true)), ReportOutcome::Accepted);
  assert_eq!(
    (record.process(), record.state()),
    (Some(&process("i-2", None)), BackendState::Ready)
  );
}

#[test]
fn a_successor_takes_over_once_the_health_endpoint_names_it() {
  let mut record = known("i-1", 5);
  assert_eq!(record.reported(Time(1), &report("i-2", 1, false)), ReportOutcome::Accepted);
  assert_eq!(record.process(), Some(&process("i-1", None)));
  record.health_checked(Time(2), &instance("i-2"), None);
  assert_eq!(
    (record.process(), record.state()),
    (Some(&process("i-2", None)), BackendState::Ready)
  );
  assert_eq!(
    record.reported(Time(3), &report("i-1", 6, false)),
    ReportOutcome::Stale,
    "the former one"
  );
}

/// The record of a process that reports its start time.
fn known_started(id: &str, started_at: u64, sequence: u64) -> BackendRecord {
  let mut record = BackendRecord::default();
  record.health_checked(Time(0), &instance(id), None);
  let report = report_of(process(id, Some(started_at)), sequence, false);
  assert_eq!(record.reported(Time(0), &report), ReportOutcome::Accepted);
  record
}

fn started(id: &str, started_at: u64, sequence: u64, leaving: bool) -> BackendReport {
  report_of(process(id, Some(started_at)), sequence, leaving)
}

#[test]
fn a_process_restarted_under_the_same_id_starts_a_new_sequence() {
  let mut record = known_started("i-1", 100, 40);
  record.became_unreachable();
  let again = BackendReport { slots: 3, ..started("i-1", 200, 1, false) };
  assert_eq!(record.reported(Time(10), &again), ReportOutcome::Accepted);
  assert!(record.needs_health_check());
  record.health_checked(Time(20), &instance("i-1"), None);
  assert_eq!((record.state(), record.slots()), (BackendState::Ready, Some(3)));
  assert_eq!(record.process(), Some(&process("i-1", Some(200))));
  assert_eq!(record.starts(), 1);
  assert_eq!(record.reported(Time(30), &started("i-1", 200, 2, true)), ReportOutcome::Accepted);
  assert_eq!(
    record.state(),
    BackendState::Leaving,
    "its own sequence counts, not the previous one's"
  );
}

#[test]
fn a_process_restarted_after_the_previous_one_left_is_accepted() {
  for has_start_time in [true, false] {
    let mut record = known_started("i-1", 100, 40);
    assert_eq!(record.reported(Time(1), &started("i-1", 100, 41, true)), ReportOutcome::Accepted);
    record.deregistered(&process("i-1", has_start_time.then_some(100)));
    record.health_checked(Time(5), &instance("i-1"), None);
    assert_eq!(record.state(), BackendState::Leaving);
    assert_eq!(record.reported(Time(10), &started("i-1", 200, 1, false)), ReportOutcome::Accepted);
    record.health_checked(Time(20), &instance("i-1"), None);
    assert_eq!(record.state(), BackendState::Ready);
    for sequence in [42, 500] {
      assert_eq!(
        record.reported(Time(30), &started("i-1", 100, sequence, true)),
        ReportOutcome::Stale
      );
    }
    record.deregistered(&process("i-1", Some(100)));
    assert_eq!(
      record.state(),
      BackendState::Ready,
      "a late deregistration of the previous process"
    );
  }
}

/// A leaving report is accepted even if it is the first report of its process.
#[test]
fn a_leaving_report_of_a_restarted_process_is_accepted_at_once() {
  let mut record = known_started("i-1", 100, 40);
  assert_eq!(record.reported(Time(1), &started("i-1", 200, 7, true)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Leaving);
  record.health_checked(Time(2), &instance("i-1"), None);
  assert_eq!(record.state(), BackendState::Leaving);
}

#[test]
fn a_report_without_a_start_time_counts_only_if_no_process_reports_one() {
  let mut record = known_started("i-1", 100, 4);
  for leaving in [false, true] {
    assert!(matches!(
      record.reported(Time(1), &report("i-1", 90, leaving)),
      ReportOutcome::Rejected(_)
    ));
    assert!(matches!(
      record.reported(Time(1), &report("i-2", 90, leaving)),
      ReportOutcome::Rejected(_)
    ));
  }
  assert_eq!(record.state(), BackendState::Ready);
  assert_eq!(record.reported(Time(2), &started("i-1", 100, 5, false)), ReportOutcome::Accepted);
}

#[test]
fn a_process_does_not_change_its_service() {
  let mut record = known_started("i-1", 100, 4);
  let elsewhere =
    BackendReport { service: "registry".parse().expect("a name"), ..started("i-1", 100, 5, true) };
  assert!(matches!(record.reported(Time(1), &elsewhere), ReportOutcome::Rejected(_)));
  assert_eq!(record.state(), BackendState::Ready);
}

fn running(version: &str, started_at: Option<u64>, sequence: u64) -> BackendReport {
  let software = Some(version.parse().expect("a version"));
  BackendReport { software, ..report_of(process("i-1", started_at), sequence, false) }
}

fn version_of(record: &BackendRecord) -> Option<&str> {
  record.software().map(ferryyoke::values::SoftwareVersion::as_str)
}

/// Guards against a single damaged report that gives a running process another version, which takes it out of use.
#[test]
fn a_process_changes_its_version_only_if_it_keeps_reporting_another_one() {
  let mut record = known_started("i-1", 100, 1);
  record.reported(Time(1), &running("v1", Some(100), 2));
  for round in 0..50 {
    let now = 10_000 + round * 1_000;
    let sequence = 10 * (round + 1);
    record.reported(Time(now), &running("y1", Some(100), sequence));
    record.reported(Time(now + 300), &started("i-1", 100, sequence + 1, false));
    record.reported(Time(now + 400), &running("y1", Some(100), sequence + 2));
    assert_eq!(version_of(&record), Some("v1"), "at {now}");
    record.reported(Time(now + 500), &running("v1", Some(100), sequence + 3));
  }
  for (now, expected) in [(90_000, "v1"), (90_500, "v1"), (91_000, "v2")] {
    record.reported(Time(now), &running("v2", Some(100), now));
    assert_eq!(version_of(&record), Some(expected), "at {now}");
  }
}

/// Without start times, a report under the same id may be of the next process.
#[test]
fn without_start_times_the_newest_reported_version_counts() {
  let mut record = known("i-1", 1);
  for (sequence, version) in [(2, "v1"), (3, "v2")] {
    record.reported(Time(sequence), &running(version, None, sequence));
    assert_eq!(version_of(&record), Some(version));
  }
}

/// The next process under the id has its own version at once.
#[test]
fn a_restarted_process_has_the_version_that_it_reports_first() {
  let mut record = known_started("i-1", 100, 1);
  record.reported(Time(1), &running("v1", Some(100), 2));
  record.reported(Time(2), &running("v2", Some(200), 1));
  record.health_checked(Time(3), &instance("i-1"), None);
  assert_eq!((record.starts(), version_of(&record)), (1, Some("v2")));
}

/// Delayed or forged reports arrive in a burst.
#[test]
fn a_burst_of_reports_does_not_displace_the_running_process() {
  let mut record = known_started("i-1", 100, 4);
  for sequence in 1..50 {
    record.reported(Time(sequence), &started("i-foreign", 150, sequence, false));
  }
  assert_eq!(record.process(), Some(&process("i-1", Some(100))));
  // Nor do steady reports of another process while the running one reports.
  for second in 1..50 {
    let now = Time(second * 1_000);
    record.reported(now, &started("i-foreign", 150, 100 + second, false));
    record.reported(now, &started("i-1", 100, 4 + second, false));
    record.reported(now, &started("i-foreign", 150, 1_000 + second, false));
  }
  assert_eq!(record.process(), Some(&process("i-1", Some(100))));
}

/// A process accepted in error is replaced by the one that keeps reporting.
#[test]
fn a_forged_process_is_replaced_by_the_one_that_keeps_reporting() {
  let mut record = known_started("i-1", 100, 4);
  assert_eq!(record.reported(Time(1), &started("i-1", 150, 1, true)), ReportOutcome::Accepted);
  assert_eq!(record.state(), BackendState::Leaving);
  for second in 1..4 {
    record.reported(Time(second * 1_000), &started("i-1", 100, 4 + second, false));
    // The health endpoint names the id that both bear.
    record.health_checked(Time(second * 1_000 + 250), &instance("i-1"), None);
  }
  assert_eq!(record.process(), Some(&process("i-1", Some(100))));
  assert_eq!(record.state(), BackendState::Ready);
}

/// Random histories: processes start one after the other under a few ids, and their reports arrive late and twice.
#[test]
fn late_reports_hide_no_new_process_and_revive_no_process_that_left() {
  support::histories(2_000, |u| {
    let mut record = BackendRecord::default();
    let (mut now, mut moment, mut sequence) = (0, 1_000, 0);
    let (mut id, mut is_leaving) = ("i-0", false);
    let mut sent: Vec<BackendReport> = Vec::new();
    let steps: usize = u.int_in_range(1..=60)?;
    for _ in 0..steps {
      now += u.int_in_range(1..=700)?;
      match u.int_in_range(0..=9)? {
        0 => {
          id = *u.choose(&["i-0", "i-1", "i-2"])?;
          (moment, sequence, is_leaving) = (moment + 1_000, 0, false);
        }
        1 => is_leaving = true,
        2 | 3 if !sent.is_empty() => {
          let late = u.choose(&sent)?.clone();
          record.reported(Time(now), &late);
        }
        4 if !is_leaving => record.health_checked(Time(now), &instance(id), None),
        5 => record.became_unreachable(),
        _ => {
          sequence += 1;
          let report = started(id, moment, sequence, is_leaving);
          record.reported(Time(now), &report);
          sent.push(report);
        }
      }
      let reported_leaving =
        |one: &BackendReport| one.leaving && Some(&one.process) == record.process();
      assert!(
        record.state() != BackendState::Ready || !sent.iter().any(reported_leaving),
        "a process that left is in use: {record:?}"
      );
    }
    // The newest process keeps reporting and is healthy.
    if is_leaving {
      (moment, sequence) = (moment + 1_000, 0);
    }
    for _ in 0..4 {
      (now, sequence) = (now + 1_000, sequence + 1);
      record.reported(Time(now), &started(id, moment, sequence, false));
      record.health_checked(Time(now), &instance(id), None);
    }
    assert_eq!(record.process(), Some(&process(id, Some(moment))));
    assert_eq!(record.state(), BackendState::Ready, "{record:?}");
    Ok(())
  });
}

// Guards against a restarted daemon that takes a process which started after it, perhaps of another service, for one of
// the service that its settings name.
#[test]
fn a_process_that_started_after_the_daemon_gets_no_work_before_its_report() {
  let mut record = BackendRecord::default();
  record.became_unreachable();
  record.health_checked(Time(250), &instance("i-9"), None);
  assert_eq!((record.process(), record.state()), (None, BackendState::Unknown));
  let service = intake();
  let first = BackendReport { service: service.clone(), ..report("i-9", 1, false) };
  assert_eq!(record.reported(Time(1_400), &first), ReportOutcome::Accepted);
  assert!(record.needs_health_check());
  record.health_checked(Time(1_500), &instance("i-9"), None);
  assert_eq!((record.service(), record.state()), (Some(&service), BackendState::Ready));
}

fn intake() -> ServiceName {
  "intake".parse().expect("a name")
}

// Guards against a process that is taken without a report and gets work of a service that it doesn't serve, because the
// settings were changed before or after it started.
#[test]
fn a_process_without_a_report_waits_for_one_once_the_settings_name_another_service() {
  let mut record = BackendRecord::default();
  record.health_checked(Time(0), &instance("i-1"), None);
  assert_eq!(record.state(), BackendState::Ready);
  record.service_named(&intake());
  record.health_checked(Time(250), &instance("i-1"), None);
  assert_eq!((record.process(), record.state()), (None, BackendState::Unknown));
  assert_eq!(record.unreported(), Some(&instance("i-1")));
  assert_eq!(record.reported(Time(400), &report("i-1", 9, false)), ReportOutcome::Accepted);
  record.health_checked(Time(500), &instance("i-1"), None);
  assert_eq!(record.state(), BackendState::Ready);
  assert_eq!(record.service().map(ServiceName::as_str), Some("archive"), "as it reported");
}

// Guards against requests that begin beside another service's process and name the former service as their caller.
#[test]
fn a_reported_service_counts_for_callers_until_the_settings_name_another_one() {
  let mut record = known("i-1", 1);
  let archive = record.service().cloned();
  record.service_named(&intake());
  assert_eq!(record.present_service(), None, "another process may be there");
  assert_eq!((record.service(), record.state()), (archive.as_ref(), BackendState::Ready));
  assert!(record.needs_health_check());
  record.health_checked(Time(10), &instance("i-1"), None);
  assert_eq!(record.present_service(), archive.as_ref(), "it is still the same process");
  assert!(!record.needs_health_check());
  record.became_unreachable();
  assert_eq!(record.present_service(), None, "it is gone");
  let first = BackendReport { service: intake(), ..report("i-2", 1, false) };
  assert_eq!(record.reported(Time(20), &first), ReportOutcome::Accepted);
  assert_eq!(record.candidate_service(), Some(&intake()), "its health path is asked");
  record.health_checked(Time(30), &instance("i-2"), None);
  assert_eq!(record.present_service(), Some(&intake()));
}

/// A process that returns with its data hall may have turned cold without a restart.
#[test]
fn a_process_that_may_have_turned_cold_counts_as_cold_until_it_answers() {
  let mut record = known("i-1", 1);
  assert!(!record.is_cold(Time(10)) && !record.needs_health_check());
  record.assume_cold(Time(10), 3_000);
  assert!(record.is_cold(Time(3_000)) && record.needs_health_check());
  record.health_checked(Time(20), &instance("i-2"), Some(0));
  assert!(record.is_cold(Time(20)), "an answer of another process doesn't count");
  record.health_checked(Time(20), &instance("i-1"), Some(500));
  assert!(record.is_cold(Time(519)) && !record.is_cold(Time(520)) && !record.needs_health_check());
}

/// A healthy process whose answers don't include a warm-up time isn't cold.
#[test]
fn a_health_check_without_a_warm_up_time_clears_the_doubt() {
  let mut record = known("i-1", 1);
  record.assume_cold(Time(10), 3_000);
  record.health_checked(Time(20), &instance("i-1"), None);
  assert!(!record.is_cold(Time(20)) && !record.needs_health_check());
}

#[test]
fn a_report_sets_the_remaining_warm_up() {
  let mut record = known("i-1", 1);
  let cold = BackendReport { cold_left_ms: 700, ..report("i-1", 2, false) };
  assert_eq!(record.reported(Time(100), &cold), ReportOutcome::Accepted);
  assert!(record.is_cold(Time(799)) && !record.is_cold(Time(800)));
}
