//! Requesters send `safe` requests ahead, while some backends reset answers without a length midway. No case: see the
//! report. Prints how many requests that other backends ran got no answer.

use crate::fleet::{Fleet, Place};
use crate::http::Reader;
use crate::record::Record;
use crate::Verdict;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The backends that reset answers: three of six, and one answer of twenty, for five seconds; the site's day has
/// { kind = "garble", how = "unframed", x = 0.05, for_s = 5.0 }, with share .5.
const BAD_ONES: [usize; 3] = [0, 2, 4];
const RESET_ONE_OF: u64 = 20;
const RESET_MS: u64 = 5_000;
/// Requests that are sent at once on a connection, and connections of the requesters of a machine.
const AHEAD: u64 = 4;
const CONNECTIONS: u64 = 5;
/// Time between two such sets on a connection: 466 requests a second in all, where the site has 468.
const PAUSE_MS: u64 = 386;
const DEADLINE_MS: u64 = 1_500;
const WARM_MS: u64 = 8_000;
const PLAY_MS: u64 = 12_000;

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[{"Name":"r-stock","Host":"nony93.example",
"PathPrefix":"/stock/","Kind":"safe","Timeout":"800ms","TargetLatency":"400ms","Priority":2,
"Service":"inventario","MaxAttempts":2}],"Services":[{"Name":"inventario","HealthPath":"/health",
"MaxConnections":130,"Protocol":"h1","Tls":false},{"Name":"galeria","HealthPath":"/health",
"MaxConnections":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,
"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}"#;

/// How a request ended for its requester.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
  Whole(u16),
  /// Its answer began, and the connection ended.
  Cut,
  /// The connection ended before any byte of its answer; `is_kept`: it had carried earlier answers.
  Nothing { is_kept: bool },
  /// The requester left at its time limit.
  Late,
}

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
  let zones = ["heredia", "cartago", "alajuela"];
  let services = ["inventario", "inventario", "inventario", "inventario", "inventario", "inventario"];
  let places = services.iter().chain(&["galeria", "galeria", "galeria"]).enumerate();
  let places: Vec<Place> =
    places.map(|(index, service)| Place { zone: zones[index % 3], service }).collect();
  let fleet = Arc::new(Fleet::prepare(root, folder, record, &places, 18));
  fleet.store.configure(CONFIGURATION);
  if !fleet.start_all() {
    return Verdict::NotRun;
  }
  std::thread::sleep(Duration::from_millis(WARM_MS));
  let ends: Arc<Mutex<BTreeMap<String, End>>> = Arc::default();
  let started = Instant::now();
  let mut senders = Vec::new();
  for number in 0..CONNECTIONS * fleet.machines.len() as u64 {
    let at = fleet.machines[number as usize % fleet.machines.len()].outbound;
    let (ends, record) = (ends.clone(), record.clone());
    senders.push(std::thread::spawn(move || {
      std::thread::sleep(Duration::from_millis(number * PAUSE_MS / 45));
      let mut connection = Connection { stream: None, answers: 0 };
      for set in 0.. {
        let next = Duration::from_millis(PAUSE_MS * set);
        std::thread::sleep(next.saturating_sub(started.elapsed()));
        if started.elapsed() >= Duration::from_millis(PLAY_MS) {
          return;
        }
        let found = connection.ask(at, number << 16 | set * AHEAD, &record);
        ends.lock().unwrap().extend(found);
      }
    }));
  }
  if has_trouble {
    std::thread::sleep(Duration::from_millis(3_000));
    for backend in BAD_ONES.map(|index| &fleet.machines[index].backend) {
      backend.reset_one_of.store(RESET_ONE_OF, Ordering::SeqCst);
      record.line(format!("{} now resets one of {RESET_ONE_OF} answers midway", backend.instance));
    }
    std::thread::sleep(Duration::from_millis(RESET_MS));
    for backend in BAD_ONES.map(|index| &fleet.machines[index].backend) {
      backend.reset_one_of.store(0, Ordering::SeqCst);
    }
  }
  for sender in senders {
    sender.join().ok();
  }
  fleet.end();
  let ends = ends.lock().unwrap();
  judge(&fleet, record, &ends)
}

/// A requester's connection, which it keeps as long as it can.
struct Connection {
  stream: Option<Reader>,
  answers: usize,
}

impl Connection {
  /// Sends requests ahead, and reads their answers in order.
  fn ask(&mut self, at: SocketAddr, first: u64, record: &Record) -> Vec<(String, End)> {
    let ids: Vec<String> = (first..first + AHEAD).map(|number| format!("9c41d07b{number:08x}")).collect();
    if self.stream.is_none() {
      self.answers = 0;
      self.stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok().map(Reader::new);
    }
    let Some(mut reader) = self.stream.take() else {
      return Vec::new();
    };
    reader.stream.set_nodelay(true).ok();
    let mut requests = String::new();
    for id in &ids {
      requests.push_str(&format!(
        "GET /stock/{id} HTTP/1.1\r\nHost: nony93.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
      ));
    }
    record.line(format!("sends {} ahead to {at}", ids.join(" ")));
    let (sent, limit) = (Instant::now(), Duration::from_millis(DEADLINE_MS));
    let mut ends: Vec<(String, End)> = Vec::new();
    let mut is_open = reader.stream.write_all(requests.as_bytes()).is_ok();
    for id in ids {
      let left = limit.saturating_sub(sent.elapsed()).max(Duration::from_millis(1));
      reader.stream.set_read_timeout(Some(left)).ok();
      let is_kept = self.answers > 0;
      let end = if is_open { read(&mut reader) } else { End::Nothing { is_kept } };
      let end = if end == (End::Nothing { is_kept: false }) { End::Nothing { is_kept } } else { end };
      record.line(format!("{id} ends: {end:?}"));
      if let End::Whole(_) = end {
        self.answers += 1;
      } else {
        is_open = false;
      }
      ends.push((id, end));
    }
    self.stream = is_open.then_some(reader);
    ends
  }
}

fn read(reader: &mut Reader) -> End {
  let is_late = |err: &std::io::Error| err.kind() == std::io::ErrorKind::WouldBlock;
  let mut head = match reader.head() {
    Ok(Some(head)) => head,
    Err(err) if is_late(&err) => return End::Late,
    _ if reader.left.is_empty() => return End::Nothing { is_kept: false },
    _ => return End::Cut,
  };
  match reader.body(&mut head, false) {
    Ok(()) => End::Whole(head.status()),
    Err(err) if is_late(&err) => End::Late,
    Err(_) => End::Cut,
  }
}

fn judge(fleet: &Fleet, record: &Record, ends: &BTreeMap<String, End>) -> Verdict {
  let mut ran: BTreeMap<String, Vec<usize>> = BTreeMap::new();
  for (index, machine) in fleet.machines.iter().enumerate() {
    for run in machine.backend.runs.lock().unwrap().iter() {
      ran.entry(run.id.clone()).or_default().push(index);
    }
  }
  let count = |wanted: &dyn Fn(&End) -> bool| ends.values().filter(|end| wanted(end)).count();
  let (mut passed_on, mut sound) = (0, 0);
  for (id, _) in ends.iter().filter(|(_, end)| **end == End::Nothing { is_kept: true }) {
    let Some(at) = ran.get(id) else {
      continue;
    };
    passed_on += 1;
    if at.iter().all(|index| !BAD_ONES.contains(index)) {
      sound += 1;
      record.line(format!("{id} was passed on to a backend that resets nothing, and got no answer"));
    }
  }
  let text = format!(
    "{} requests, {} with a whole 200, {} cut in their answer, {} late; {} without any byte of an answer, {} of them on kept \
     connections; of these, {passed_on} had been passed on, {sound} to backends that reset nothing",
    ends.len(),
    count(&|end| *end == End::Whole(200)),
    count(&|end| *end == End::Cut),
    count(&|end| *end == End::Late),
    count(&|end| matches!(end, End::Nothing { .. })),
    count(&|end| *end == End::Nothing { is_kept: true }),
  );
  record.line(&text);
  println!("{text}");
  if count(&|end| *end == End::Whole(200)) * 2 < ends.len() {
    return Verdict::NotRun;
  }
  if sound > 3 { Verdict::Broken } else { Verdict::Held }
}
