//! A change of the configuration that moves a route, and adds one with a long name. No case: see the report.

use crate::fleet::{exchange, Fleet, Place};
use crate::record::Record;
use crate::Verdict;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WARM_MS: u64 = 8_000;
const CHANGE_AT_MS: u64 = 2_000;
const PLAY_MS: u64 = 10_000;
const PER_S: u64 = 60;
/// `ConfigApply`.
const APPLY_MS: u64 = 2_000;
const LONG: &str = "r-certify-and-send-final-transcripts-to-all-district-committees-of-kigali";
const SHORT: &str = "r-certify-and-send";

fn configuration(version: u64, service: &str, added: &str) -> String {
  let route = |name: &str, path: &str, service: &str| {
    format!(
      "{{\"Name\":\"{name}\",\"Host\":\"nony93.example\",\"PathPrefix\":\"{path}\",\"Kind\":\"safe\",\
       \"Timeout\":\"1200ms\",\"TargetLatency\":\"400ms\",\"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":2}}"
    )
  };
  let service_of = |name: &str| {
    format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false}}")
  };
  format!(
    "{{\"Version\":{version},\"Routes\":[{},{}],\"Services\":[{},{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
     \"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}}}",
    route("r-read", "/read/", service),
    route(added, "/more/", "archive"),
    service_of("archive"),
    service_of("intake")
  )
}

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  let zones = ["kgl-nyarugenge", "kgl-kacyiru", "kgl-remera"];
  let services = ["archive", "archive", "archive", "intake", "intake", "intake"];
  let places = services.iter().enumerate();
  let places: Vec<Place> =
    places.map(|(index, service)| Place { zone: zones[index % 3], service }).collect();
  let fleet = Fleet::prepare(root, folder, record, &places, 12);
  fleet.store.configure(&configuration(7, "archive", SHORT));
  if !fleet.start_all() {
    return Verdict::NotRun;
  }
  std::thread::sleep(Duration::from_millis(WARM_MS));
  let sent: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
  let (started, mut changed_ms) = (Instant::now(), None);
  let (mut number, mut senders) = (0u64, Vec::new());
  while started.elapsed() < Duration::from_millis(PLAY_MS) {
    if changed_ms.is_none() && started.elapsed() >= Duration::from_millis(CHANGE_AT_MS) {
      let name = if has_trouble { LONG } else { SHORT };
      fleet.store.configure(&configuration(10, "intake", name));
      changed_ms = Some(record.now_ms());
      record.line(format!("the store takes version 10: /read/ goes to intake; it has a route {name}"));
    }
    number += 1;
    let at = fleet.machines[number as usize % fleet.machines.len()].outbound;
    let (sent, record) = (sent.clone(), record.clone());
    senders.push(std::thread::spawn(move || {
      let id = format!("9c41d07b{number:08x}");
      sent.lock().unwrap().push((id.clone(), record.now_ms()));
      let request = format!(
        "GET /read/{number:x} HTTP/1.1\r\nHost: nony93.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n"
      );
      let answer = exchange(at, request.as_bytes(), Duration::from_millis(2_500));
      record.line(format!("{id} is answered: {}", answer.map_or(0, |answer| answer.status())));
    }));
    let next = Duration::from_millis(number * 1_000 / PER_S);
    std::thread::sleep(next.saturating_sub(started.elapsed()));
  }
  for sender in senders {
    sender.join().ok();
  }
  fleet.end();
  let bound_ms = changed_ms.unwrap_or_default() + APPLY_MS;
  let sent = sent.lock().unwrap();
  let late: Vec<&String> = sent.iter().filter(|one| one.1 > bound_ms).map(|one| &one.0).collect();
  let archive = fleet.machines.iter().filter(|machine| machine.backend.service == "archive");
  let runs: Vec<String> = archive
    .flat_map(|machine| machine.backend.runs.lock().unwrap().iter().map(|run| run.id.clone()).collect::<Vec<_>>())
    .collect();
  let old = late.iter().filter(|id| runs.contains(id)).count();
  let text =
    format!("{} requests sent later than ConfigApply after the change, {old} run by the old service", late.len());
  record.line(&text);
  println!("{text}");
  if old > 0 { Verdict::Broken } else { Verdict::Held }
}
