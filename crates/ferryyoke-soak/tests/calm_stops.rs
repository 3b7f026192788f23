//! Planned stops of one box in calm, while callers go on sending on open connections, on real processes.
//!
//! Guards against requests that are taken late in a stop, passed on, and cut without an answer as the stop ends, among
//! them requests that may not run again.

mod support;

use {
  ferryyoke_soak::platform,
  std::{
    collections::BTreeSet,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
  },
  support::{Answer, Fleet, LOOK_MS, crowd, pause_ms, run, soon},
};

/// Number of boxes, which run two services by turns.
const BOXES: usize = 4;

/// Callers of each kind at the box that stops.
const CALLERS: usize = 12;

/// Milliseconds of load before the stop.
const BEFORE_MS: u64 = 1_000;

/// Milliseconds from one late caller to the next one: together they last longer than the stop.
const LATE_STEP_MS: u64 = 520;

/// Milliseconds that a long request takes: it ends before the last sixth of the stop.
const LONG_MS: u64 = 4_500;

/// Milliseconds that backend servers take for a request, by turns: from short ones to a fifth of the stop.
const WORK_MS: [u64; 5] = [20, 150, 400, 800, 1_200];

/// Milliseconds that callers wait, by turns: an ordinary time, and one beyond the stop's end.
const CALLER_MS: [u64; 2] = [2_000, 15_000];

/// Milliseconds within which a connection must end after a request on it that is neither passed on nor answered.
const LOSS_SLACK_MS: u128 = 200;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// A request and what its caller saw.
#[derive(Debug)]
struct Seen {
  id: String,
  is_read: bool,
  /// The status of its whole answer; `None` if the connection ended before it was whole.
  status: Option<u16>,
  took: Duration,
}

/// Sends a request on a connection, and reads its answer. A read may run again, another request may not.
fn exchange(stream: &mut TcpStream, id: String, is_read: bool, work_ms: u64, wait_ms: u64) -> Seen {
  let (method, path) = if is_read { ("GET", "/read/") } else { ("POST", "/send/") };
  let head = format!(
    "{method} {path}{id} HTTP/1.1\r\nhost: soak.example\r\ncontent-length: 0\r\n{}: {id}\r\n{}: {wait_ms}\r\n{}: \
     {work_ms}\r\n\r\n",
    platform::REQUEST_ID,
    platform::TIME_LEFT_MS,
    platform::WORK_MS,
  );
  let sent_at = Instant::now();
  // A write that fails sent no whole request.
  let status = stream.write_all(head.as_bytes()).ok().and_then(|()| crowd::read_answer(stream));
  Seen { id, is_read, status, took: sent_at.elapsed() }
}

/// Sends requests to a box until it takes no connection any more: on one connection for as long as it is open, whatever
/// its answers say, and then on the next one.
fn call(callers: SocketAddr, caller: usize) -> Vec<Seen> {
  let mut seen = Vec::new();
  let mut stream = TcpStream::connect(callers).ok();
  for number in caller.. {
    let Some(open) = &mut stream else {
      break;
    };
    let (work_ms, wait_ms) =
      (WORK_MS[number % WORK_MS.len()], CALLER_MS[number / 2 % CALLER_MS.len()]);
    let one =
      exchange(open, format!("stop{caller}x{number}"), number.is_multiple_of(2), work_ms, wait_ms);
    if one.status.is_none() {
      stream = TcpStream::connect(callers).ok();
    }
    seen.push(one);
  }
  seen
}

/// Opens a connection before the stop, and sends its first request later: one caller after the other through the stop.
fn call_late(callers: SocketAddr, caller: usize) -> Vec<Seen> {
  let mut stream = TcpStream::connect(callers).expect("a connection");
  thread::sleep(Duration::from_millis(BEFORE_MS + LATE_STEP_MS * caller as u64));
  vec![exchange(
    &mut stream,
    format!("late{caller}"),
    caller.is_multiple_of(2),
    WORK_MS[2],
    CALLER_MS[1],
  )]
}

/// Sends a request just before the stop that runs for most of it.
fn call_long(callers: SocketAddr, caller: usize) -> Vec<Seen> {
  let mut stream = TcpStream::connect(callers).expect("a connection");
  thread::sleep(Duration::from_millis(BEFORE_MS - 200));
  vec![exchange(
    &mut stream,
    format!("long{caller}"),
    caller.is_multiple_of(2),
    LONG_MS,
    CALLER_MS[1],
  )]
}

/// Stops one box under load, and checks the requests that its callers sent.
async fn stop(stopped: usize) {
  let fleet = Fleet::prepare(BOXES);
  fleet.serve().await;
  fleet.write_timeout(2, "20s");
  for index in 0..BOXES {
    let is_ready =
      |answer: &Answer| answer.is_served() && answer.header("x-ferryyoke-version") == "2";
    fleet.ask_until(index, "/send/", soon(MAX_WAIT_MS), is_ready).await;
  }
  let callers = fleet.boxes[stopped].callers;
  let (send, received) = mpsc::channel();
  for caller in 0..CALLERS {
    for calling in [call, call_late, call_long] {
      let send = send.clone();
      thread::spawn(move || send.send(calling(callers, caller)));
    }
  }
  pause_ms(BEFORE_MS).await;
  fleet.boxes[stopped].signal("TERM").expect("a signal");
  let until = soon(MAX_WAIT_MS);
  let mut seen: Vec<Seen> = Vec::new();
  let mut ended = 0;
  while ended < 3 * CALLERS {
    assert!(Instant::now() < until, "the box goes on taking requests");
    while let Ok(of_one) = received.try_recv() {
      seen.extend(of_one);
      ended += 1;
    }
    // Of all boxes, the one that stops ends by itself.
    pause_ms(LOOK_MS).await;
  }
  let record = fleet.record.borrow();
  let ran: BTreeSet<&str> = record.runs.iter().map(|run| run.request_id.as_str()).collect();
  let is_lost = |one: &&Seen| {
    one.status.is_none() && (ran.contains(one.id.as_str()) || one.took.as_millis() > LOSS_SLACK_MS)
  };
  let answered = seen.iter().filter(|one| one.status == Some(200)).count();
  let closed = seen.iter().filter(|one| one.status.is_none()).count();
  println!("box {stopped}: {} requests, {answered} served, {closed} closed", seen.len());
  let lost: Vec<&Seen> = seen.iter().filter(is_lost).collect();
  assert!(lost.is_empty(), "lost: {lost:#?}\n{}", fleet.boxes[stopped].log());
  let refused_and_ran = |one: &&Seen| {
    matches!(one.status, Some(408 | 421 | 429 | 503)) && ran.contains(one.id.as_str())
  };
  // A read may run at one backend server, fail there, and be refused by the next.
  let is_once =
    |one: &&Seen| record.runs.iter().filter(|run| run.request_id == one.id).count() <= 1;
  let sends = seen.iter().filter(|one| !one.is_read);
  assert_eq!(sends.clone().find(refused_and_ran).map(|one| &one.id), None);
  assert_eq!(sends.clone().find(|one| !is_once(one)).map(|one| &one.id), None);
  let long_ones = seen.iter().filter(|one| one.id.starts_with("long") && one.status == Some(200));
  println!("{} long ones served", long_ones.count());
  assert!(answered > CALLERS, "too little load: {answered} requests were served");
}

#[test]
fn a_stop_in_calm_cuts_no_request_however_late_it_comes() {
  run(async {
    for stopped in [0, 1, 2, 3] {
      stop(stopped).await;
    }
  });
}
