//! A backend server that says only in its answers that it leaves, as its reports are lost, on real processes.
//!
//! Guards against daemons that pass such answers on and send it new requests for as long as it serves.

mod support;

use {
  ferryyoke_soak::platform,
  futures_util::future::join_all,
  http::Method,
  std::time::{Duration, Instant},
  support::{Answer, Fleet, run},
};

/// Number of boxes. Every second one runs the service that the requests are for.
const BOXES: usize = 8;

/// Milliseconds after the first such answer within which requests may still reach the backend server.
const DRAIN_MS: u64 = 2_000;

/// The box whose backend server leaves.
const LEAVING: usize = 2;

/// Milliseconds between two requests of a caller.
const PAUSE_MS: u64 = 60;

/// Sends requests at all boxes for `for_ms`. Returns how many were sent and how many were served.
async fn load(fleet: &Fleet, for_ms: u64) -> (usize, usize) {
  let until = Instant::now() + Duration::from_millis(for_ms);
  let callers = join_all((0..BOXES).map(|index| call(fleet, index, until))).await;
  callers.iter().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
}

async fn call(fleet: &Fleet, index: usize, until: Instant) -> (usize, usize) {
  let (mut sent, mut served) = (0, 0);
  while Instant::now() < until {
    let id = format!("{index}-{sent}");
    let headers = [(platform::REQUEST_ID, id.as_str())];
    let answer = fleet.send(index, Method::GET, "/read/leaving", &headers).await;
    sent += 1;
    served += usize::from(answer.as_ref().is_ok_and(Answer::is_served));
    monoio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
  }
  (sent, served)
}

/// Returns when each run at the current process of a box began, in milliseconds since the fleet was prepared.
fn runs_ms(fleet: &Fleet, index: usize) -> Vec<u64> {
  let process = fleet.boxes[index].backend_server.process();
  let record = fleet.record.borrow();
  let runs = record.runs.iter().filter(|run| run.instance == process);
  runs.map(|run| run.at_ms).collect()
}

#[test]
fn no_request_reaches_a_backend_server_whose_answers_said_that_it_leaves() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    fleet.serve().await;
    load(&fleet, 1_000).await;
    let leaving = &fleet.boxes[LEAVING].backend_server;
    leaving.leave_unreported();
    let before = runs_ms(&fleet, LEAVING).len();
    let (sent, served) = load(&fleet, 5_000).await;
    let runs = runs_ms(&fleet, LEAVING);
    let after = &runs[before.min(runs.len())..];
    let first_ms = after.first().copied().expect("a request to which it says that it leaves");
    // The answer to the first request that runs then says so, at most 60 ms later.
    let late: Vec<&u64> = after.iter().filter(|at| **at > first_ms + 60 + DRAIN_MS).collect();
    println!(
      "{} requests after it left, {} of them late; {served} of {sent} served",
      after.len(),
      late.len()
    );
    assert!(late.is_empty(), "{late:?} after {first_ms}\n{}", fleet.boxes[LEAVING].log());
    assert_eq!(served, sent, "the others have room");
    leaving.start_anew();
    load(&fleet, 4_000).await;
    assert!(!runs_ms(&fleet, LEAVING).is_empty(), "the next process gets no requests");
  });
}
