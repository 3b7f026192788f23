//! Planned stops while large answers cross narrow links, on real processes.
//!
//! Seen: callers of boxes that were stopped as planned got 200 and then a closed connection, in the middle of an
//! answer of some hundred KB; the stops had reached their deadline. How it came about: more answers were wanted than
//! the links between boxes carry, so each answer took seconds to cross. What caused it: nothing bounded what a box
//! owes over its link. The kernel took whole answers at once, so their slots were free for the next ones, and a box
//! took requests until its stop with all the time that their callers had. What proved it: the lines of the stop's
//! deadline, which name each answer that it cuts with the bytes given, and this test, with 40 of them.

mod support;

use {
  ferryyoke::web::{self, Pool},
  ferryyoke_soak::{SoakBox, platform},
  http::{Request, StatusCode},
  std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
  },
  support::{Answer, Fleet, run, soon},
};

/// Boxes of the fleet, of two services by turns.
const BOXES: usize = 8;

/// Megabits a second that a box's link carries.
const LINK_MBPS: u64 = 15;

/// Bytes of the answers, by turns.
const ANSWER_BYTES: [usize; 4] = [40_000, 90_000, 150_000, 400_000];

/// Milliseconds that callers wait for an answer, which is as long as a stop may take.
const CALLER_MS: u64 = 6_000;

/// Milliseconds for which callers send requests.
const SPELL_MS: u64 = 14_000;

/// Milliseconds between two requests at each box: together two and a half times what the links carry.
const PAUSE_MS: u64 = 70;

/// The boxes that are stopped, one after the other: two that callers come to only, and two that also run what is
/// asked for.
const STOPPED: [usize; 4] = [1, 0, 3, 2];

/// Milliseconds between two stops.
const STOP_GAP_MS: u64 = 1_500;

/// The box at which callers come in the smaller test. What they ask for runs at the other one.
const ENTRY: usize = 1;

/// The box beside the backend server in the smaller test.
const SERVING: usize = 0;

/// Milliseconds for everything that need not be fast.
const PATIENCE_MS: u64 = 20_000;

/// What came of a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
  /// The connection ended before the answer was whole.
  Cut(String),
  /// The caller's time was over first.
  Late,
  /// An answer of the daemon's own.
  Refused(u16, String),
  /// The box took no connection.
  Unsent,
  /// The answer that was asked for.
  Whole,
}

/// A request, and what its caller saw.
#[derive(Debug)]
struct Seen {
  index: usize,
  outcome: Outcome,
  request_id: String,
  sent_at: Instant,
}

async fn ask(fleet: &Fleet, index: usize, number: usize) -> Seen {
  let bytes = ANSWER_BYTES[number % ANSWER_BYTES.len()];
  let request_id = format!("photo-{index}-{number}");
  let request = Request::get("/read/photo")
    .header(http::header::HOST, "soak.example")
    .header(platform::ANSWER_BYTES, bytes)
    .header(platform::REQUEST_ID, &request_id)
    .header(platform::TIME_LEFT_MS, CALLER_MS)
    .header(platform::WORK_MS, 100)
    .body(web::empty())
    .expect("a sound head");
  let sent_at = Instant::now();
  let pool = Rc::new(Pool::new(1_000));
  let exchange = pool.exchange(fleet.boxes[index].callers, request, 1 << 20);
  let outcome = match monoio::time::timeout(Duration::from_millis(CALLER_MS), exchange).await {
    Err(_) => Outcome::Late,
    Ok(Err(web::Error::Unreachable { .. } | web::Error::Unsent { .. })) => Outcome::Unsent,
    Ok(Err(err)) => Outcome::Cut(err.to_string()),
    Ok(Ok((StatusCode::OK, body))) if body.len() == bytes => Outcome::Whole,
    Ok(Ok((status, body))) => {
      let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
      Outcome::Refused(status.as_u16(), body["reason"].as_str().unwrap_or_default().into())
    }
  };
  Seen { index, outcome, request_id, sent_at }
}

/// Callers send requests at one box for a while, whatever becomes of those before. Returns what they saw.
async fn call(fleet: Rc<Fleet>, index: usize) -> Vec<Seen> {
  let seen: Rc<RefCell<Vec<Seen>>> = Rc::default();
  let until = Instant::now() + Duration::from_millis(SPELL_MS);
  let mut under_way = Vec::new();
  for number in index.. {
    if Instant::now() >= until {
      break;
    }
    let (fleet, seen) = (fleet.clone(), seen.clone());
    under_way.push(monoio::spawn(async move {
      let one = ask(&fleet, index, number).await;
      seen.borrow_mut().push(one);
    }));
    monoio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
  }
  futures_util::future::join_all(under_way).await;
  seen.take()
}

/// Stops boxes one after the other. Returns when each stop began.
async fn stop(fleet: &Fleet) -> BTreeMap<usize, Instant> {
  let mut stopped_at = BTreeMap::new();
  for index in STOPPED {
    monoio::time::sleep(Duration::from_millis(STOP_GAP_MS)).await;
    fleet.boxes[index].signal("TERM").expect("a signal");
    stopped_at.insert(index, Instant::now());
  }
  stopped_at
}

/// Plays the stops under load, and returns what callers saw.
async fn play(fleet: &Rc<Fleet>) -> Vec<Seen> {
  for one in &fleet.boxes {
    one.narrow(LINK_MBPS).expect("settings");
  }
  fleet.serve().await;
  let calling = futures_util::future::join_all((0..BOXES).map(|index| call(fleet.clone(), index)));
  let (seen, stopped_at) = futures_util::future::join(calling, stop(fleet)).await;
  let seen: Vec<Seen> = seen.into_iter().flatten().collect();
  let mut counts: BTreeMap<(&str, &Outcome), usize> = BTreeMap::new();
  for one in &seen {
    let is_stopped = stopped_at.get(&one.index).is_some_and(|at| *at <= one.sent_at);
    let place = match stopped_at.get(&one.index) {
      None => "at boxes that run on",
      Some(_) if is_stopped => "at boxes that stop",
      Some(_) => "at boxes before their stop",
    };
    *counts.entry((place, &one.outcome)).or_default() += 1;
  }
  println!("{counts:#?}");
  seen
}

#[test]
fn a_planned_stop_cuts_no_answer_that_crosses_a_narrow_link() {
  run(async {
    let fleet = Rc::new(Fleet::prepare(BOXES));
    let seen = play(&fleet).await;
    let is_cut = |one: &&Seen| matches!(one.outcome, Outcome::Cut(_));
    let cut: Vec<&Seen> = seen.iter().filter(is_cut).collect();
    for one in &cut {
      for line in fleet.boxes[one.index].log().lines() {
        if line.contains(&format!("\"{}\"", one.request_id)) {
          println!("box {}: {line}", one.index);
        }
      }
    }
    assert!(cut.is_empty(), "{} answers were cut: {cut:?}", cut.len());
  });
}

/// What works for longer than the stop lasts gets its answer before the stop's end: at the box that its caller came
/// to, and at the one beside the backend server.
#[test]
fn what_comes_during_a_planned_stop_is_answered_before_its_end() {
  /// Milliseconds that a caller waits, and its request works: beyond the end of the stop.
  const LONG_MS: u64 = 15_000;
  /// Milliseconds after the stop's beginning at which the requests come.
  const LATER_MS: u64 = 800;
  run(async {
    for stopped in [ENTRY, SERVING] {
      let fleet = Fleet::prepare(2);
      fleet.write_timeout(1, "20s");
      fleet.start(ENTRY);
      fleet.start(SERVING);
      fleet.ask_until(ENTRY, "/read/", soon(PATIENCE_MS), Answer::is_served).await;
      fleet.ask_until(ENTRY, "/send/", soon(PATIENCE_MS), Answer::is_served).await;
      fleet.boxes[stopped].signal("TERM").expect("a signal");
      monoio::time::sleep(Duration::from_millis(LATER_MS)).await;
      let (index, path) = (ENTRY, "/read/long");
      let request = Request::get(path)
        .header(http::header::HOST, "soak.example")
        .header(platform::TIME_LEFT_MS, LONG_MS)
        .header(platform::WORK_MS, LONG_MS)
        .body(web::empty())
        .expect("a sound head");
      let (pool, sent_at) = (Rc::new(Pool::new(1_000)), Instant::now());
      let answer = pool.exchange(fleet.boxes[index].callers, request, 1 << 20).await;
      let took = sent_at.elapsed();
      println!("box {stopped} stops: {answer:?} after {took:?}");
      assert!(answer.is_ok(), "box {stopped} stops, cut after {took:?}");
      assert!(took < Duration::from_millis(SoakBox::STOP_MS - LATER_MS), "{took:?}");
    }
  });
}
