//! A backend server that leaves as planned (the disruption), whose software's version has a build number
//! after a plus sign.

use std::{
  sync::{
    Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread,
};

use super::*;

use crate::{
  backend::Plan,
  daemons::{Fleet, Kind},
  http::{ask, request_fields},
};

const LIMIT_MS: u64 = 3_000;
/// `Ack`.
const ACK_MS: u64 = 4_000;
/// How long a backend server serves on without a confirmation.
const SERVES_ON_MS: u64 = 6_000;
const REQUESTERS: usize = 16;

fn plan(_: &str) -> Plan {
  Plan { bytes: 300, work: ms(300), sends_for: ms(0) }
}

pub fn play(record: &Arc<Record>) -> Result<bool> {
  let routes = [route("certify", "/certify/", "unsafe", "registry", LIMIT_MS)];
  let version = if has_trouble() { "2.4.0+20261206" } else { "2.4.0" };
  let kind = |service| Kind { service, slots: 8, version, plan };
  let kinds = ["registry", "registry", "registry", "registry", "archive"].map(kind);
  let services = ["registry", "archive"];
  let mut fleet = Fleet::start(&kinds, &configuration(7, &routes, &services), record)?;
  let (is_over, number) = (AtomicBool::new(false), AtomicU64::new(0));
  let (served, failed) = (AtomicU64::new(0), Mutex::new(Vec::new()));
  let at = fleet.machines[4].callers;
  let mut confirmed = 0;
  // A quarter of the service's backend servers.
  let leaving = 1;
  thread::scope(|scope| {
    for _ in 0..REQUESTERS {
      scope.spawn(|| {
        while !is_over.load(Ordering::SeqCst) {
          let id = format!("certify{:08}", number.fetch_add(1, Ordering::SeqCst));
          let fields = request_fields(HOST, &id, LIMIT_MS);
          record.write(format!("{id} POST /certify/a"));
          let asked = ask(at, "POST", "/certify/a", &fields, b"minutes", ms(2 * LIMIT_MS));
          let status = asked.map_or(0, |answer| answer.head.status());
          record.write(format!("{id} answered {status}"));
          if status == 200 {
            served.fetch_add(1, Ordering::SeqCst);
          } else {
            failed.lock().unwrap().push((id, status));
          }
          thread::sleep(ms(20));
        }
      });
    }
    thread::sleep(ms(3_000));
    for machine in &fleet.machines[..leaving] {
      confirmed += u64::from(leave(&machine.backend, record));
      thread::sleep(ms(1_000));
    }
    thread::sleep(ms(1_000));
    is_over.store(true, Ordering::SeqCst);
  });
  fleet.quote_logs(record, "refused a report", 1);
  if served.load(Ordering::SeqCst) < 100 {
    return Err("fewer than 100 requests were served".into());
  }
  if !fleet.all_run() {
    return Err("a daemon ended".into());
  }
  let failed = failed.into_inner().map_err(|err| err.to_string())?;
  let ran = failed.iter().filter(|(id, _)| !record.runs_of(id).is_empty()).count();
  record.result(format!(
    "Acks: {confirmed} of {leaving} leaving backend servers had a confirmation within Ack; {ran} \
     requests were run and cut as these ended; {} were served",
    served.load(Ordering::SeqCst)
  ));
  Ok((leaving as u64 - confirmed) * 5 > leaving as u64)
}

/// Lets a backend server leave: it says so, serves on, and ends. Returns whether it had its
/// confirmation within `Ack`.
fn leave(backend: &crate::backend::Backend, record: &Record) -> bool {
  let began = record.now();
  backend.drain();
  let mut is_confirmed = false;
  while !is_confirmed && record.now() - began < ms(ACK_MS) {
    is_confirmed = backend.report() == 200;
    thread::sleep(ms(500));
  }
  // Drain and a little more after a confirmation; some seconds without one.
  thread::sleep(ms(if is_confirmed { 2_500 } else { SERVES_ON_MS - ACK_MS }));
  backend.end();
  is_confirmed
}
