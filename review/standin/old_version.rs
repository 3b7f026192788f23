//! Backends are replaced by ones of another software version; the last of the old version crashes for good. No case:
//! see the report. Prints how many requests of each second were served.

use crate::backend::Backend;
use crate::fleet::{exchange, Fleet, Place};
use crate::record::Record;
use crate::Verdict;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WARM_MS: u64 = 8_000;
const PLAY_S: u64 = 32;
const PER_S: u64 = 100;
/// How long a backend goes on after it says that it is draining.
const DRAINING_MS: u64 = 4_000;

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[{"Name":"r-read","Host":"nony93.example",
"PathPrefix":"/read/","Kind":"safe","Timeout":"1200ms","TargetLatency":"400ms","Priority":2,
"Service":"archive","MaxAttempts":2}],"Services":[{"Name":"archive","HealthPath":"/health",
"MaxConnections":130,"Protocol":"h1","Tls":false},{"Name":"intake","HealthPath":"/health",
"MaxConnections":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,
"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}"#;

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  let zones = ["kgl-nyarugenge", "kgl-kacyiru", "kgl-remera"];
  let services = ["archive", "archive", "archive", "archive", "intake"];
  let places = services.iter().enumerate();
  let places: Vec<Place> =
    places.map(|(index, service)| Place { zone: zones[index % 3], service }).collect();
  let fleet = Arc::new(Fleet::prepare(root, folder, record, &places, 12));
  fleet.store.configure(CONFIGURATION);
  if !fleet.start_all() {
    return Verdict::NotRun;
  }
  std::thread::sleep(Duration::from_millis(WARM_MS));
  if has_trouble {
    let (fleet, record) = (fleet.clone(), record.clone());
    std::thread::spawn(move || replace(&fleet, &record));
  }
  let started = Instant::now();
  let served: Arc<Mutex<Vec<u64>>> = Arc::new(Mutex::new(vec![0; PLAY_S as usize]));
  let (mut number, mut senders) = (0u64, Vec::new());
  while started.elapsed() < Duration::from_secs(PLAY_S) {
    number += 1;
    let at = fleet.machines[number as usize % fleet.machines.len()].outbound;
    let (served, record) = (served.clone(), record.clone());
    senders.push(std::thread::spawn(move || {
      let (second, id) = (started.elapsed().as_secs() as usize, format!("9c41d07b{number:08x}"));
      let request = format!(
        "GET /read/{number:x} HTTP/1.1\r\nHost: nony93.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n"
      );
      let answer = exchange(at, request.as_bytes(), Duration::from_millis(2_500));
      let status = answer.map_or(0, |answer| answer.status());
      record.line(format!("{id} is answered: {status}"));
      if let Some(count) = served.lock().unwrap().get_mut(second).filter(|_| status == 200) {
        *count += 1;
      }
    }));
    let next = Duration::from_millis(number * 1_000 / PER_S);
    std::thread::sleep(next.saturating_sub(started.elapsed()));
  }
  for sender in senders {
    sender.join().ok();
  }
  fleet.end();
  let served = served.lock().unwrap();
  record.line(format!("served by second: {served:?}"));
  println!("served by second, of {PER_S}: {served:?}");
  if served.last() == Some(&0) { Verdict::Broken } else { Verdict::Held }
}

fn replace(fleet: &Fleet, record: &Record) {
  let mut fresh = Vec::new();
  for index in 1..4 {
    let former = &fleet.machines[index].backend;
    former.is_draining.store(true, Ordering::SeqCst);
    record.line(format!("{} of v1 says that it is draining", former.instance));
    std::thread::sleep(Duration::from_millis(DRAINING_MS));
    former.crash();
    std::thread::sleep(Duration::from_millis(300));
    let listener = TcpListener::bind(former.address).expect("the address is free");
    let instance = format!("i-5e{index}02b9c");
    let backend =
      Backend::start("archive", &former.zone, &instance, listener, former.slots, record.clone());
    *backend.version.lock().unwrap() = "v2".into();
    backend.report(fleet.machines[index].control);
    record.line(format!("{instance} of v2 starts in its place"));
    fresh.push(backend);
  }
  std::thread::sleep(Duration::from_millis(3_000));
  fleet.machines[0].backend.crash();
  record.line(format!("{} of v1 crashes for good", fleet.machines[0].backend.instance));
}
