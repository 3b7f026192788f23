//! A request that ends each backend server which begins to run it, on real processes.
//!
//! Seen: one request came again and again, with the same path and body, at any box; 17 and 19 backend servers of
//! one service ended under it in ten seconds, and a third to a half of all other requests for that service were
//! refused. How it came about: its caller gave up after a few tries each time and sent it anew, under another id.
//! What caused it: daemons remembered nothing of a request beyond the one attempt that they carried, so each time
//! it was new to all of them. What proved it: this test, in which nothing else is wrong.

mod support;

use {
  ferryyoke_soak::platform,
  http::Method,
  std::time::{Duration, Instant},
  support::{Answer, Fleet, soon},
};

/// Boxes of the fleet. Every second one is of the service that the request is for.
const BOXES: usize = 8;

/// Milliseconds between two attempts of the caller.
const PAUSE_MS: u64 = 60;

/// Milliseconds for which the caller goes on.
const SPELL_MS: u64 = 12_000;

/// Milliseconds within which every box in touch knows what was seen at another one.
const CONTACT_MS: u64 = 3_000;

/// Backend servers that may end before the request counts as one that ends them.
const CRASHES_MAX: usize = 3;

/// How often such a request may still reach a backend server after that.
const RETRIES_MAX: usize = 3;

/// Milliseconds for everything that need not be fast.
const PATIENCE_MS: u64 = 20_000;

/// How the ids of the caller's attempts begin.
const ATTEMPT: &str = "ending-";

async fn fleet() -> Fleet {
  let fleet = Fleet::prepare(BOXES);
  fleet.write(1, 0, "safe");
  (0..BOXES).for_each(|index| fleet.start(index));
  for index in 0..BOXES {
    fleet.ask_until(index, "/read/", soon(PATIENCE_MS), Answer::is_served).await;
  }
  fleet
}

fn run(test: impl Future<Output = ()>) {
  ferryyoke::commands::block_on(test).expect("an event loop");
}

/// The caller sends its request at one box after the other, whatever it gets.
async fn press(fleet: &Fleet, crash_ms: &str) {
  let until = Instant::now() + Duration::from_millis(SPELL_MS);
  let mut number = 0;
  while Instant::now() < until {
    let id = format!("{ATTEMPT}{number}");
    let headers = [(platform::REQUEST_ID, id.as_str()), (platform::CRASH_MS, crash_ms)];
    let sent = fleet.send(number * 3 % BOXES, Method::GET, "/read/ends-servers", &headers);
    let pause = monoio::time::sleep(Duration::from_millis(PAUSE_MS));
    futures_util::future::join(sent, pause).await.0.ok();
    number += 1;
  }
}

/// When the request's runs began, in milliseconds since the fleet was prepared.
fn runs_ms(fleet: &Fleet) -> Vec<u64> {
  let record = fleet.record.borrow();
  let runs = record.runs.iter().filter(|run| run.request_id.starts_with(ATTEMPT));
  runs.map(|run| run.at_ms).collect()
}

#[test]
fn a_request_that_ended_three_backend_servers_reaches_three_more_at_most() {
  run(async {
    let fleet = fleet().await;
    press(&fleet, "20").await;
    let runs = runs_ms(&fleet);
    let third_ms = runs.get(CRASHES_MAX - 1).copied().unwrap_or(u64::MAX);
    let is_late = |at_ms: &&u64| **at_ms > third_ms.saturating_add(CONTACT_MS);
    let late = runs.iter().filter(is_late).count();
    println!("{} runs, {late} late: {runs:?}", runs.len());
    assert!(late <= RETRIES_MAX, "{late} runs after the third and {CONTACT_MS} ms: {runs:?}");
  });
}
