//! A version of the configuration that adds a route whose name has a letter beyond ASCII (the
//! disruption: a change of the configuration), beside other changes.

use std::thread;

use super::*;

use crate::{
  backend::Plan,
  daemons::{Fleet, Kind},
  http::{ask, request_fields},
};

const LIMIT_MS: u64 = 1_500;
/// `ConfigApply`.
const APPLY_MS: u64 = 2_000;
/// Rounds of requests after that, one every 100 ms.
const ROUNDS: usize = 100;

fn plan(_: &str) -> Plan {
  Plan { bytes: 300, work: ms(5), sends_for: ms(0) }
}

pub fn play(record: &Arc<Record>) -> Result<bool> {
  let services = ["archive", "registry"];
  let of = |name, prefix, service| route(name, prefix, "safe", service, LIMIT_MS);
  let first = [
    of("minutes", "/minutes/", "archive"),
    of("leaflets", "/leaflets/", "archive"),
  ];
  // The name is the only difference between the two plays.
  let added = if has_trouble() { "procès-verbaux" } else { "proces-verbaux" };
  let second = [
    of("minutes", "/minutes/", "registry"),
    of(added, "/verbatim/", "archive"),
  ];
  let kind = |service| Kind { service, slots: 8, version: "v1", plan };
  let kinds = [kind("archive"), kind("registry"), kind("archive"), kind("registry")];
  let mut fleet = Fleet::start(&kinds, &configuration(7, &first, &services), record)?;
  let before = round(&fleet, record, "before", 0);
  if before.moved + before.dropped == 0 || before.missing != fleet.machines.len() {
    return Err("version 7 is not in force at the start".into());
  }
  fleet.configure(&configuration(9, &second, &services));
  record.write(format!("version 9 is confirmed, with a route named {added}"));
  thread::sleep(ms(APPLY_MS + 100));
  let mut all = Handled::default();
  for index in 0..ROUNDS {
    let handled = round(&fleet, record, "after", index);
    all.moved += handled.moved;
    all.dropped += handled.dropped;
    all.missing += handled.missing;
    thread::sleep(ms(100));
  }
  fleet.quote_logs(record, "the store's configuration was refused", 1);
  if !fleet.all_run() {
    return Err("a daemon ended".into());
  }
  let count = ROUNDS * fleet.machines.len();
  record.result(format!(
    "CONFIG: later than ConfigApply after the confirmation of version 9, of {count} requests each: \
     {} were run by the service of version 7, {} were run on the dropped route, {} got 404 on the \
     added one",
    all.moved, all.dropped, all.missing
  ));
  Ok(all.moved + all.dropped + all.missing > 0)
}

/// Requests that were handled as only version 7 allows.
#[derive(Default)]
struct Handled {
  dropped: usize,
  missing: usize,
  moved: usize,
}

/// Sends a request of each route at each machine.
fn round(fleet: &Fleet, record: &Record, when: &str, index: usize) -> Handled {
  let mut handled = Handled::default();
  for (number, machine) in fleet.machines.iter().enumerate() {
    let send = |path: &str| {
      let id = format!("{when}-{}-{number}-{index}", path.trim_matches('/'));
      let fields = request_fields(HOST, &id, LIMIT_MS);
      record.write(format!("{id} GET {path}a at machine {number}"));
      let target = format!("{path}a");
      let asked = ask(machine.callers, "GET", &target, &fields, b"", ms(2 * LIMIT_MS));
      let status = asked.map_or(0, |answer| answer.head.status());
      record.write(format!("{id} answered {status}"));
      (status, record.runs_of(&id))
    };
    let is_at = |service: &str, runs: &[crate::record::Run]| {
      runs.iter().any(|run| run.server.contains(service))
    };
    handled.moved += usize::from(is_at("archive", &send("/minutes/").1));
    handled.dropped += usize::from(is_at("archive", &send("/leaflets/").1));
    handled.missing += usize::from(send("/verbatim/").0 == 404);
  }
  handled
}
