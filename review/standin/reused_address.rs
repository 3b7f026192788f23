//! A backend crashes for good, the daemon beside it restarts, and the address goes to another service. The same without
//! the restart is no case: see the report.

use crate::backend::Backend;
use crate::fleet::{exchange, Fleet, Place};
use crate::record::Record;
use crate::Verdict;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WARM_MS: u64 = 8_000;
const PLAY_MS: u64 = 9_000;
/// Requests a second, of all requesters.
const PER_S: u64 = 150;
/// The machine whose backend crashes: one of seven of all services, one of four of its own.
const CRASHED: usize = 1;
const CRASH_AT_MS: u64 = 2_000;
/// When its daemon is killed, and how long after that the platform starts it again.
const KILL_AT_MS: u64 = 2_500;
const RESTART_AFTER_MS: u64 = 500;
/// When the other service's backend starts at the address: `ReuseAfter` is 2 s from the crash.
const REUSE_AT_MS: u64 = 4_600;
/// When its first liveness report comes after its start: within `Heartbeat`, which is 1,500 ms.
const FIRST_REPORT_MS: u64 = 1_400;

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[
{"Name":"r-read","Host":"nony93.example","PathPrefix":"/read/","Kind":"safe","Timeout":"1200ms",
"TargetLatency":"400ms","Priority":2,"Service":"archive","MaxAttempts":2},
{"Name":"r-certify","Host":"nony93.example","PathPrefix":"/certify/","Kind":"unsafe","Timeout":"1500ms",
"TargetLatency":"500ms","Priority":1,"Service":"archive","MaxAttempts":2},
{"Name":"r-upload","Host":"nony93.example","PathPrefix":"/record/","Kind":"upload","Timeout":"1500ms",
"TargetLatency":"500ms","Priority":1,"Service":"intake","MaxAttempts":2}],
"Services":[{"Name":"archive","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false},
{"Name":"intake","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}"#;

/// How long after the newcomer's start requests that began beside it may still name the former service.
const GREY_MS: u64 = 100;

/// What a scene saw.
struct Seen {
  fleet: Arc<Fleet>,
  newcomer: Option<Newcomer>,
  codes: Vec<u16>,
  /// At which machine each request began.
  origins: BTreeMap<String, usize>,
}

/// The other service's backend, and when it started.
struct Newcomer {
  backend: Arc<Backend>,
  at_ms: u64,
}

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  match run(root, folder, record, has_trouble, true) {
    Some(seen) => judge_services(record, &seen),
    None => Verdict::NotRun,
  }
}

/// The same without the kill of the daemon: which service do requests that begin beside the newcomer name?
pub fn play_callers(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  match run(root, folder, record, has_trouble, false) {
    Some(seen) => judge_callers(record, &seen),
    None => Verdict::NotRun,
  }
}

fn run(root: &Path, folder: &Path, record: &Record, has_trouble: bool, kills: bool) -> Option<Seen> {
  let zones = ["kgl-nyarugenge", "kgl-kacyiru", "kgl-remera"];
  let services = ["archive", "archive", "archive", "archive", "intake", "intake", "intake"];
  let places = services.iter().enumerate();
  let places: Vec<Place> =
    places.map(|(index, service)| Place { zone: zones[index % 3], service }).collect();
  let fleet = Arc::new(Fleet::prepare(root, folder, record, &places, 12));
  fleet.store.configure(CONFIGURATION);
  if !fleet.start_all() {
    record.line("not all daemons became ready");
    return None;
  }
  std::thread::sleep(Duration::from_millis(WARM_MS));
  let started = Instant::now();
  let trouble = has_trouble.then(|| {
    let (fleet, record) = (fleet.clone(), record.clone());
    std::thread::spawn(move || reuse(&fleet, &record, started, kills))
  });
  let codes: Arc<Mutex<Vec<u16>>> = Arc::default();
  let mut origins = BTreeMap::new();
  let (mut number, mut senders) = (0u64, Vec::new());
  while started.elapsed() < Duration::from_millis(PLAY_MS) {
    number += 1;
    let turn = (number + number / 7) as usize;
    let origin = turn % fleet.machines.len();
    let (at, id) = (fleet.machines[origin].outbound, format!("9c41d07b{number:08x}"));
    origins.insert(id.clone(), origin);
    let (codes, record) = (codes.clone(), record.clone());
    senders.push(std::thread::spawn(move || {
      let (method, target) = match number % 3 {
        0 => ("GET", format!("/read/{number:x}")),
        1 => ("POST", format!("/certify/{number:x}")),
        _ => ("POST", format!("/record/{number:x}")),
      };
      let body = if method == "POST" { "a transcript ".repeat(20) } else { String::new() };
      record.line(format!("sends {id} to {at}: {method} {target}"));
      let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: nony93.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
      );
      let answer = exchange(at, request.as_bytes(), Duration::from_millis(2_500));
      let status = answer.map_or(0, |answer| answer.status());
      record.line(format!("{id} is answered: {status}"));
      codes.lock().unwrap().push(status);
    }));
    let next = Duration::from_millis(number * 1_000 / PER_S);
    std::thread::sleep(next.saturating_sub(started.elapsed()));
  }
  for sender in senders {
    sender.join().ok();
  }
  let newcomer = match trouble {
    Some(trouble) => Some(trouble.join().ok()?),
    None => None,
  };
  fleet.end();
  let codes = codes.lock().unwrap().clone();
  Some(Seen { fleet, newcomer, codes, origins })
}

/// Crashes the backend, kills and restarts the daemon where `kills` says so, and starts another service's backend at
/// the address.
fn reuse(fleet: &Fleet, record: &Record, started: Instant, kills: bool) -> Newcomer {
  let until = |at_ms: u64| {
    std::thread::sleep(Duration::from_millis(at_ms).saturating_sub(started.elapsed()));
  };
  let machine = &fleet.machines[CRASHED];
  until(CRASH_AT_MS);
  machine.backend.crash();
  record.line(format!("{} of {} crashes for good", machine.backend.instance, machine.backend.service));
  if kills {
    until(KILL_AT_MS);
    machine.kill();
    record.line(format!("the daemon of {} is killed", machine.name));
    until(KILL_AT_MS + RESTART_AFTER_MS);
    fleet.start(CRASHED);
  }
  until(REUSE_AT_MS);
  let listener = TcpListener::bind(machine.backend.address).expect("the address is free");
  fleet.set_service(CRASHED, "archive", "intake");
  let (zone, slots) = (machine.backend.zone.clone(), machine.backend.slots);
  let backend = Backend::start("intake", &zone, "i-0d99e1b7", listener, slots, record.clone());
  let at_ms = record.now_ms();
  record.line(format!("{} of intake starts at {}", backend.instance, backend.address));
  until(REUSE_AT_MS + FIRST_REPORT_MS);
  record.line(format!("{} sends its first liveness report", backend.instance));
  backend.report(machine.control);
  Newcomer { backend, at_ms }
}

impl Seen {
  /// All backends that ran.
  fn backends(&self) -> impl Iterator<Item = &Arc<Backend>> {
    let newcomer = self.newcomer.iter().map(|newcomer| &newcomer.backend);
    self.fleet.machines.iter().map(|machine| &machine.backend).chain(newcomer)
  }

  /// The verdict, with what was counted. A scene that served less than half is void.
  fn verdict(&self, record: &Record, counted: &str, is_broken: bool) -> Verdict {
    let good = self.codes.iter().filter(|code| **code == 200).count();
    let text = format!("{} requests, {good} with 200; {counted}", self.codes.len());
    record.line(&text);
    println!("{text}");
    match () {
      () if good * 2 < self.codes.len() => Verdict::NotRun,
      () if is_broken => Verdict::Broken,
      () => Verdict::Held,
    }
  }
}

/// UNASKED: which runs name another caller than the service of the machine where their request began?
fn judge_callers(record: &Record, seen: &Seen) -> Verdict {
  let (mut runs, mut wrong) = (0, 0);
  for backend in seen.backends() {
    for run in backend.runs.lock().unwrap().iter() {
      runs += 1;
      let Some(origin) = seen.origins.get(&run.id).copied() else {
        continue;
      };
      let newcomer = seen.newcomer.as_ref().filter(|one| origin == CRASHED && run.at_ms >= one.at_ms);
      if newcomer.is_some_and(|one| run.at_ms < one.at_ms + GREY_MS) {
        continue;
      }
      let service = newcomer.map_or(&seen.fleet.machines[origin].backend.service, |one| &one.backend.service);
      if run.caller != *service {
        wrong += 1;
        record.line(format!(
          "UNASKED: {} ran {} at {} ms, which began at {} beside a backend of {service} and names {} as its caller",
          run.instance, run.id, run.at_ms, seen.fleet.machines[origin].name, run.caller
        ));
      }
    }
  }
  let counted = format!("{runs} runs, {wrong} of them with another caller's name");
  seen.verdict(record, &counted, wrong > 0)
}

/// ROUTE: which runs are at another service than their route's?
fn judge_services(record: &Record, seen: &Seen) -> Verdict {
  let (mut runs, mut wrong) = (0, 0);
  for backend in seen.backends() {
    for run in backend.runs.lock().unwrap().iter() {
      runs += 1;
      let is_intake = run.content.target.starts_with("/record/");
      if is_intake != (backend.service == "intake") {
        wrong += 1;
        record.line(format!(
          "ROUTE: {} of {} ran {} at {} ms: {}",
          run.instance, backend.service, run.id, run.at_ms, run.content
        ));
      }
    }
  }
  let counted = format!("{runs} runs, {wrong} of them at a wrong service");
  seen.verdict(record, &counted, wrong > 0)
}
