//! Downloads, while backends go dark in the midst of their answers.

use crate::fleet::{Fleet, Place};
use crate::http::Reader;
use crate::record::Record;
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The backends that go dark: two of fifteen, where the site file has share = 0.14.
const DARK_ONES: [usize; 2] = [1, 6];
/// The route's `Timeout`, and how long a requester waits.
const TIMEOUT_MS: u64 = 800;
const DEADLINE_MS: u64 = 1_500;
/// How long after `Timeout` the rule looks.
const LATER_MS: u64 = 500;
/// Work of a download, in which its bytes are sent. The site's goes up to 380.
const WORK_MS: u64 = 330;
const BYTES: usize = 90_000;
const PER_S: u64 = 440;
const WARM_MS: u64 = 8_000;
const DARK_AT_MS: u64 = 3_000;
/// They go dark at the first moment from then on at which so many answers are under way, half a second later at most.
const UNDER_WAY: usize = 20;
/// How long they would stay dark: `for_s` = 4.5 in the site file. The scene ends before that is over.
const DARK_MS: u64 = 4_500;
const PLAY_MS: u64 = 5_500;

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[{"Name":"r-photo","Host":"nony93.example",
"PathPrefix":"/puba11/","Kind":"download","Timeout":"800ms","TargetLatency":"250ms","Priority":2,
"Service":"permits","MaxAttempts":2}],"Services":[{"Name":"permits","HealthPath":"/health",
"MaxConnections":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,
"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}"#;

/// A request: when it was sent, what had come of its answer, and when that was final.
struct Asked {
  id: String,
  sent_ms: u64,
  status: u16,
  bytes: usize,
  /// When the whole answer was there, or the daemon ended the connection; `None` where neither happened.
  final_ms: Option<u64>,
}

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  let zones = ["srodmiescie", "czechow", "wieniawa", "bronowice"];
  let places: Vec<Place> =
    (0..15).map(|index| Place { zone: zones[index % 4], service: "permits" }).collect();
  let fleet = Arc::new(Fleet::prepare(root, folder, record, &places, 13));
  for machine in &fleet.machines {
    machine.backend.streamed_bytes.store(BYTES, Ordering::SeqCst);
    machine.backend.work_ms.lock().unwrap().insert(String::new(), WORK_MS);
  }
  fleet.store.configure(CONFIGURATION);
  if !fleet.start_all() {
    record.line("not all daemons became ready");
    return Verdict::NotRun;
  }
  std::thread::sleep(Duration::from_millis(WARM_MS));
  let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
  let started = Instant::now();
  let (mut number, mut senders, mut is_dark) = (0u64, Vec::new(), false);
  while started.elapsed() < Duration::from_millis(PLAY_MS) {
    let under_way: usize = DARK_ONES
      .map(|index| fleet.machines[index].backend.running.load(Ordering::SeqCst))
      .iter()
      .sum();
    let dark_from = Duration::from_millis(DARK_AT_MS);
    let is_due = started.elapsed() >= dark_from && under_way >= UNDER_WAY
      || started.elapsed() >= dark_from + Duration::from_millis(500);
    if has_trouble && !is_dark && is_due {
      is_dark = true;
      for backend in DARK_ONES.map(|index| &fleet.machines[index].backend) {
        backend.is_dark.store(true, Ordering::SeqCst);
        let running = backend.running.load(Ordering::SeqCst);
        record.line(format!(
          "{} goes dark for {DARK_MS} ms, with {running} answers under way",
          backend.instance
        ));
      }
    }
    number += 1;
    let turn = (number + number / 15) as usize;
    let at = fleet.machines[turn % fleet.machines.len()].outbound;
    let (asked, record) = (asked.clone(), record.clone());
    senders.push(std::thread::spawn(move || {
      let one = ask(at, format!("9c41d07b{number:08x}"), number, &record);
      asked.lock().unwrap().extend(one);
    }));
    let next = Duration::from_millis(number * 1_000 / PER_S);
    std::thread::sleep(next.saturating_sub(started.elapsed()));
  }
  for sender in senders {
    sender.join().ok();
  }
  let ended = fleet.machines.iter().filter(|machine| !machine.runs()).count();
  fleet.end();
  let asked = asked.lock().unwrap();
  judge(record, &asked, ended)
}

fn ask(at: SocketAddr, id: String, number: u64, record: &Record) -> Option<Asked> {
  let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
  stream.set_nodelay(true).ok()?;
  let request = format!(
    "GET /puba11/{number:x} HTTP/1.1\r\nHost: nony93.example\r\nX-Request-Id: {id}\r\n\
     X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
  );
  stream.write_all(request.as_bytes()).ok()?;
  let (sent, sent_ms) = (Instant::now(), record.now_ms());
  record.line(format!("sends {id} to {at}: GET /puba11/{number:x}"));
  let limit = Duration::from_millis(DEADLINE_MS);
  let mut reader = Reader::new(stream);
  let mut one = Asked { id, sent_ms, status: 0, bytes: 0, final_ms: None };
  reader.stream.set_read_timeout(Some(limit)).ok()?;
  let head = reader.head();
  let length = match &head {
    Ok(Some(head)) => {
      one.status = head.status();
      head.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }
    // The connection ended.
    Ok(None) => {
      one.final_ms = Some(record.now_ms());
      0
    }
    Err(_) => 0,
  };
  one.bytes = reader.left.len();
  let mut piece = [0; 16_384];
  while one.status > 0 && one.bytes < length && sent.elapsed() < limit {
    let left = limit.saturating_sub(sent.elapsed()).max(Duration::from_millis(1));
    reader.stream.set_read_timeout(Some(left)).ok()?;
    match reader.stream.read(&mut piece) {
      Ok(0) => {
        one.final_ms = Some(record.now_ms());
        break;
      }
      Ok(count) => one.bytes += count,
      Err(err) if matches!(err.kind(), std::io::ErrorKind::WouldBlock) => break,
      Err(_) => {
        one.final_ms = Some(record.now_ms());
        break;
      }
    }
  }
  if one.status > 0 && one.bytes >= length {
    one.final_ms = Some(record.now_ms());
  }
  let state = match one.final_ms {
    Some(at) => format!("final after {} ms", at - one.sent_ms),
    None => format!("not final after {} ms, the requester leaves", sent.elapsed().as_millis()),
  };
  let Asked { id, status, bytes, .. } = &one;
  record.line(format!("{id}: {status}, {bytes} of {length} bytes, {state}"));
  Some(one)
}

fn judge(record: &Record, asked: &[Asked], ended: usize) -> Verdict {
  let lacks = |one: &&Asked, after_ms: u64| {
    one.final_ms.is_none_or(|at| at - one.sent_ms > after_ms)
  };
  let past: Vec<&Asked> = asked.iter().filter(|one| lacks(one, TIMEOUT_MS)).collect();
  let lacking: Vec<&&Asked> =
    past.iter().filter(|one| lacks(one, TIMEOUT_MS + LATER_MS)).collect();
  let begun = lacking.iter().filter(|one| one.status == 200).count();
  for one in &lacking {
    record.line(format!(
      "CONFIG: {} sent at {} ms lacks a final answer {} ms after its route's Timeout",
      one.id, one.sent_ms, LATER_MS
    ));
  }
  let good = asked.iter().filter(|one| one.status == 200 && one.final_ms.is_some()).count();
  let text = format!(
    "{} requests, {good} with a whole 200; {} ran past Timeout, {} of them lack a final answer {LATER_MS} ms later, \
     {begun} of these with a begun 200; daemons that ended: {ended}",
    asked.len(),
    past.len(),
    lacking.len()
  );
  record.line(&text);
  println!("{text}");
  if good * 2 < asked.len() {
    return Verdict::NotRun;
  }
  if lacking.len() >= 8 && lacking.len() * 4 > past.len() { Verdict::Broken } else { Verdict::Held }
}
