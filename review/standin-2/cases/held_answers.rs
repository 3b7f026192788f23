//! Answers that wait behind a slower one of the same connection.
//!
//! Some requesters send a `safe` request and three downloads behind it on one kept connection. The
//! backend servers of the first are slow at times, two of five (the disruption); those of the downloads are sound, and
//! busy with the short requests of others.

use std::{
  io,
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
  http::{Connection, ask, request_fields},
};

/// Time limit and `Timeout` of each request.
const LIMIT_MS: u64 = 3_000;
/// Requesters that send ahead, and others.
const AHEAD: usize = 20;
const OTHERS: usize = 30;
/// How long the two backend servers of `registry` are slow, how often, and the pause before each time.
const SLOW_MS: u64 = 9_000;
const TIMES: usize = 6;
const PAUSE_MS: u64 = 3_000;
/// How many times as long as usual they then work.
const SLOWNESS: u64 = 12;

/// Whether they are slow now.
static IS_SLOW: AtomicBool = AtomicBool::new(false);

/// A request that a machine took from a kept connection and did not answer.
struct Lost {
  id: String,
  after: Duration,
}

/// What the requesters share.
struct Play<'a> {
  ahead_at: std::net::SocketAddr,
  is_over: AtomicBool,
  lost: Mutex<Vec<Lost>>,
  number: AtomicU64,
  other_at: std::net::SocketAddr,
  record: &'a Record,
  whole: AtomicU64,
}

/// The two of the five backend servers of `registry` that are slow at times.
fn slow_plan(_: &str) -> Plan {
  let factor = if IS_SLOW.load(Ordering::SeqCst) { SLOWNESS } else { 1 };
  Plan { bytes: 1_500, work: ms(150 * factor), sends_for: ms(0) }
}

fn plan(path: &str) -> Plan {
  match path.split('/').nth(1) {
    Some("read") => Plan { bytes: 1_500, work: ms(150), sends_for: ms(0) },
    Some("photo") => Plan { bytes: 400_000, work: ms(50), sends_for: ms(0) },
    _ => Plan { bytes: 1_500, work: ms(100), sends_for: ms(0) },
  }
}

pub fn play(record: &Arc<Record>) -> Result<bool> {
  let routes = [
    route("r-read", "/read/", "safe", "registry", LIMIT_MS),
    route("r-photo", "/photo/", "download", "archive", LIMIT_MS),
    route("r-look", "/look/", "safe", "archive", LIMIT_MS),
  ];
  let services = ["archive", "registry", "intake"];
  let kind = |service, plan: fn(&str) -> Plan| Kind { service, slots: 8, version: "v1", plan };
  let kinds = [
    kind("archive", plan),
    kind("archive", plan),
    kind("registry", slow_plan),
    kind("registry", slow_plan),
    kind("registry", plan),
    kind("registry", plan),
    kind("registry", plan),
    kind("intake", plan),
    kind("intake", plan),
  ];
  let mut fleet = Fleet::start(&kinds, &configuration(7, &routes, &services), record)?;
  let play = Play {
    ahead_at: fleet.machines[7].callers,
    is_over: AtomicBool::new(false),
    lost: Mutex::default(),
    number: AtomicU64::new(0),
    other_at: fleet.machines[8].callers,
    record,
    whole: AtomicU64::new(0),
  };
  thread::scope(|scope| {
    for _ in 0..AHEAD {
      scope.spawn(|| play.send_ahead_until_over());
    }
    for _ in 0..OTHERS {
      scope.spawn(|| play.send_until_over());
    }
    for _ in 0..TIMES {
      thread::sleep(ms(PAUSE_MS));
      IS_SLOW.store(has_trouble(), Ordering::SeqCst);
      record.write(format!("two of the five backend servers of registry are slow: {}", has_trouble()));
      thread::sleep(ms(SLOW_MS));
      IS_SLOW.store(false, Ordering::SeqCst);
      record.write("the backend servers of registry are as usual");
    }
    thread::sleep(ms(PAUSE_MS));
    play.is_over.store(true, Ordering::SeqCst);
  });
  thread::sleep(ms(500));
  let lost = play.lost.into_inner().map_err(|err| err.to_string())?;
  let is_counted = |one: &&Lost| {
    // Passed on to a backend server, with most of its time left.
    !record.runs_of(&one.id).is_empty() && one.after < ms(LIMIT_MS * 7 / 10)
  };
  let counted: Vec<&Lost> = lost.iter().filter(is_counted).collect();
  for one in &counted {
    record.write(format!("lost {} {:?} after it was sent", one.id, one.after));
  }
  fleet.quote_logs(record, "a transfer stalled while others waited for its slot", 3);
  let whole = play.whole.load(Ordering::SeqCst);
  if whole < 100 {
    return Err("fewer than 100 answers came whole".into());
  }
  if !fleet.all_run() {
    return Err("a daemon ended".into());
  }
  record.result(format!(
    "LOST: {} requests of kept connections were passed on by one machine to a sound backend server \
     and got no whole answer before it closed their connection (3 are allowed); {whole} answers came \
     whole",
    counted.len(),
  ));
  Ok(counted.len() > 3)
}

impl Play<'_> {
  fn is_over(&self) -> bool {
    self.is_over.load(Ordering::SeqCst)
  }

  fn next_id(&self, what: &str) -> String {
    format!("{what}{:08}", self.number.fetch_add(1, Ordering::SeqCst))
  }

  fn send_until_over(&self) {
    while !self.is_over() {
      let id = self.next_id("look");
      let fields = request_fields(HOST, &id, LIMIT_MS);
      self.record.write(format!("{id} GET /look/a"));
      let asked = ask(self.other_at, "GET", "/look/a", &fields, b"", ms(2 * LIMIT_MS));
      let status = asked.map_or(0, |one| one.head.status());
      self.record.write(format!("{id} answered {status}"));
      thread::sleep(ms(20));
    }
  }

  fn send_ahead_until_over(&self) {
    while !self.is_over() {
      if let Ok(mut connection) = Connection::open(self.ahead_at, ms(2 * LIMIT_MS)) {
        while !self.is_over() && self.send_ahead(&mut connection) {
          thread::sleep(ms(50));
        }
      }
    }
  }

  /// Sends four requests ahead and reads their answers. Returns whether the connection can be used
  /// again.
  fn send_ahead(&self, connection: &mut Connection) -> bool {
    let sent_at = self.record.now();
    let paths = ["/read/a", "/photo/a", "/photo/b", "/photo/c"];
    let ids: Vec<String> = paths.iter().map(|_| self.next_id("ahead")).collect();
    for (path, id) in paths.iter().zip(&ids) {
      self.record.write(format!("{id} GET {path}"));
      if connection.send("GET", path, &request_fields(HOST, id, LIMIT_MS), b"").is_err() {
        return false;
      }
    }
    for (index, id) in ids.iter().enumerate() {
      match connection.answer() {
        Ok(answer) => {
          self.whole.fetch_add(1, Ordering::SeqCst);
          let status = answer.head.status();
          self.record.write(format!("{id} answered {status} {}", answer.body.len()));
          if answer.head.field("connection") == "close" {
            return false;
          }
        }
        Err(err) => {
          let after = self.record.now() - sent_at;
          self.record.write(format!("{id} no whole answer after {after:?}: {err}"));
          // A requester that waits in vain closes the connection itself.
          if !matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) {
            let behind = ids[index..].iter().map(|id| Lost { id: id.clone(), after });
            self.lost.lock().unwrap().extend(behind);
          }
          return false;
        }
      }
    }
    true
  }
}
