//! A backend crashes for good, the daemon beside it restarts, and the address goes to another service.

use crate::backend::Backend;
use crate::fleet::{exchange, Fleet, Place};
use crate::record::Record;
use crate::Verdict;
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

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  let zones = ["kgl-nyarugenge", "kgl-kacyiru", "kgl-remera"];
  let services = ["archive", "archive", "archive", "archive", "intake", "intake", "intake"];
  let places = services.iter().enumerate();
  let places: Vec<Place> =
    places.map(|(index, service)| Place { zone: zones[index % 3], service }).collect();
  let fleet = Arc::new(Fleet::prepare(root, folder, record, &places, 12));
  fleet.store.configure(CONFIGURATION);
  if !fleet.start_all() {
    record.line("not all daemons became ready");
    return Verdict::NotRun;
  }
  std::thread::sleep(Duration::from_millis(WARM_MS));
  let started = Instant::now();
  let newcomer: Arc<Mutex<Option<Arc<Backend>>>> = Arc::default();
  let trouble = has_trouble.then(|| {
    let (fleet, newcomer, record) = (fleet.clone(), newcomer.clone(), record.clone());
    std::thread::spawn(move || *newcomer.lock().unwrap() = Some(reuse(&fleet, &record, started)))
  });
  let codes: Arc<Mutex<Vec<u16>>> = Arc::default();
  let (mut number, mut senders) = (0u64, Vec::new());
  while started.elapsed() < Duration::from_millis(PLAY_MS) {
    number += 1;
    let turn = (number + number / 7) as usize;
    let at = fleet.machines[turn % fleet.machines.len()].outbound;
    let (codes, record) = (codes.clone(), record.clone());
    senders.push(std::thread::spawn(move || {
      let id = format!("9c41d07b{number:08x}");
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
  if trouble.is_some_and(|trouble| trouble.join().is_err()) {
    return Verdict::NotRun;
  }
  fleet.end();
  let codes = codes.lock().unwrap();
  let newcomer = newcomer.lock().unwrap();
  judge(&fleet, record, newcomer.as_deref(), &codes)
}

/// Crashes the backend, kills and restarts the daemon, and starts another service's backend at the address.
fn reuse(fleet: &Fleet, record: &Record, started: Instant) -> Arc<Backend> {
  let until = |at_ms: u64| {
    std::thread::sleep(Duration::from_millis(at_ms).saturating_sub(started.elapsed()));
  };
  let machine = &fleet.machines[CRASHED];
  until(CRASH_AT_MS);
  machine.backend.crash();
  record.line(format!("{} of {} crashes for good", machine.backend.instance, machine.backend.service));
  until(KILL_AT_MS);
  machine.kill();
  record.line(format!("the daemon of {} is killed", machine.name));
  until(KILL_AT_MS + RESTART_AFTER_MS);
  fleet.start(CRASHED);
  until(REUSE_AT_MS);
  let listener = TcpListener::bind(machine.backend.address).expect("the address is free");
  fleet.set_service(CRASHED, "archive", "intake");
  let (zone, slots) = (machine.backend.zone.clone(), machine.backend.slots);
  let newcomer = Backend::start("intake", &zone, "i-0d99e1b7", listener, slots, record.clone());
  record.line(format!("{} of intake starts at {}", newcomer.instance, newcomer.address));
  until(REUSE_AT_MS + FIRST_REPORT_MS);
  record.line(format!("{} sends its first liveness report", newcomer.instance));
  newcomer.report(machine.control);
  newcomer
}

fn judge(fleet: &Fleet, record: &Record, newcomer: Option<&Backend>, codes: &[u16]) -> Verdict {
  let backends = fleet.machines.iter().map(|machine| &*machine.backend).chain(newcomer);
  let (mut runs, mut wrong) = (0, 0);
  for backend in backends {
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
  let good = codes.iter().filter(|code| **code == 200).count();
  let text =
    format!("{} requests, {good} with 200; {runs} runs, {wrong} of them at a wrong service", codes.len());
  record.line(&text);
  println!("{text}");
  if good * 2 < codes.len() {
    return Verdict::NotRun;
  }
  if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
