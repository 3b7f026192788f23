//! Planned stops while large answers cross narrow links, on real processes.
//!
//! Guards against answers that a planned stop cuts at its deadline: callers got 200 and then a closed connection in the
//! middle of an answer of some hundred KB. Requested answers exceeded the bandwidth of the links between boxes, so each
//! took seconds to cross. The bytes pending on a link were unbounded: the kernel buffered whole answers at once, which
//! freed their slots for further requests, and until its stop a box accepted requests with the full timeouts of their
//! callers. The log line at a stop's deadline names each cut answer and the bytes sent; this test had 40 cut answers.

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

/// Number of boxes, which run two services by turns.
const BOXES: usize = 8;

/// Bandwidth of a box's link in megabits per second.
const LINK_MBPS: u64 = 15;

/// Sizes of the answers in bytes, used by turns.
const ANSWER_BYTES: [usize; 4] = [40_000, 90_000, 150_000, 400_000];

/// The callers' timeout in milliseconds: as long as a stop may take.
const CALLER_MS: u64 = 6_000;

/// Milliseconds for which callers send requests.
const SENDING_MS: u64 = 14_000;

/// Milliseconds between two requests at each box. The total is two and a half times the links' bandwidth.
const PAUSE_MS: u64 = 70;

/// The boxes that are stopped, in this order: two that only receive requests from callers, and two that also run them.
const STOPPED: [usize; 4] = [1, 0, 3, 2];

/// Milliseconds between two stops.
const STOP_GAP_MS: u64 = 1_500;

/// The box that receives the callers' requests in the smaller test. The other box runs them.
const ENTRY: usize = 1;

/// The box whose backend server runs the requests in the smaller test.
const SERVING: usize = 0;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// The result of a request as its caller saw it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
  /// The connection ended before the answer was complete.
  Cut(String),
  /// The caller timed out.
  Late,
  /// The daemon answered itself, with a status and a reason.
  Refused(u16, String),
  /// The box accepted no connection.
  Unsent,
  /// The complete answer.
  Whole,
}

/// A request and its outcome.
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
    .expect("a valid head");
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

/// Sends requests to one box for [`SENDING_MS`] without waiting for earlier ones. Returns their outcomes.
async fn call(fleet: Rc<Fleet>, index: usize) -> Vec<Seen> {
  let seen: Rc<RefCell<Vec<Seen>>> = Rc::default();
  let until = Instant::now() + Duration::from_millis(SENDING_MS);
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

/// Stops the boxes of [`STOPPED`] one after the other. Returns when each stop began.
async fn stop(fleet: &Fleet) -> BTreeMap<usize, Instant> {
  let mut stopped_at = BTreeMap::new();
  for index in STOPPED {
    monoio::time::sleep(Duration::from_millis(STOP_GAP_MS)).await;
    fleet.boxes[index].signal("TERM").expect("a signal");
    stopped_at.insert(index, Instant::now());
  }
  stopped_at
}

/// Stops boxes under load. Returns the outcomes of all requests.
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
fn a_planned_stop_cuts_no_answer_on_a_narrow_link() {
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

/// A request that runs longer than the stop is answered before the stop ends, whether the stopped box is the one that
/// its caller uses or the one with the backend server.
#[test]
fn requests_during_a_planned_stop_are_answered_before_it_ends() {
  /// Milliseconds of the caller's timeout and of the request's run: longer than the stop.
  const LONG_MS: u64 = 15_000;
  /// Milliseconds from the beginning of the stop to the request.
  const LATER_MS: u64 = 800;
  run(async {
    for stopped in [ENTRY, SERVING] {
      let fleet = Fleet::prepare(2);
      fleet.write_timeout(1, "20s");
      fleet.start(ENTRY);
      fleet.start(SERVING);
      fleet.ask_until(ENTRY, "/read/", soon(MAX_WAIT_MS), Answer::is_served).await;
      fleet.ask_until(ENTRY, "/send/", soon(MAX_WAIT_MS), Answer::is_served).await;
      fleet.boxes[stopped].signal("TERM").expect("a signal");
      monoio::time::sleep(Duration::from_millis(LATER_MS)).await;
      let (index, path) = (ENTRY, "/read/long");
      let request = Request::get(path)
        .header(http::header::HOST, "soak.example")
        .header(platform::TIME_LEFT_MS, LONG_MS)
        .header(platform::WORK_MS, LONG_MS)
        .body(web::empty())
        .expect("a valid head");
      let (pool, sent_at) = (Rc::new(Pool::new(1_000)), Instant::now());
      let answer = pool.exchange(fleet.boxes[index].callers, request, 1 << 20).await;
      let took = sent_at.elapsed();
      println!("box {stopped} stops: {answer:?} after {took:?}");
      assert!(answer.is_ok(), "box {stopped} stops, cut after {took:?}");
      assert!(took < Duration::from_millis(SoakBox::STOP_MS - LATER_MS), "{took:?}");
    }
  });
}
