//! Answers to callers when open connections go silent for good, on real processes.
//!
//! Guards against requests that are sent on a dead connection, or lose their answer there. When half of the connections
//! between boxes went silent while new ones worked, 185 to 534 requests per run waited until their deadlines and ended
//! with 502 or 504, and callers could not retry those that may not run twice. A request that never arrived must run
//! once elsewhere, and an answer lost on the way must be delivered.

mod support;

use {
  ferryyoke_soak::platform,
  http::Method,
  std::time::Duration,
  support::{Answer, Fleet, soon},
};

/// Number of boxes, which run two services by turns.
const BOXES: usize = 4;

/// The box that receives the callers' requests. Its own service is another one than they request.
const ENTRY: usize = 0;

/// A path whose requests may not run twice.
const ONCE: &str = "/send/";

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// Milliseconds that daemons run first: just after its start, a daemon cannot tell which requests reached it before the
/// start.
const REMEMBERED_MS: u64 = 1_500;

/// Number of concurrent requests, and so of pooled connections.
const TOGETHER: usize = 6;

async fn fleet() -> Fleet {
  let fleet = Fleet::prepare(BOXES);
  fleet.write(1, 0, "safe");
  for index in 0..BOXES {
    fleet.start(index);
  }
  for index in 0..BOXES {
    for path in [ONCE, "/read/"] {
      fleet.ask_until(index, path, soon(MAX_WAIT_MS), Answer::is_served).await;
    }
  }
  monoio::time::sleep(Duration::from_millis(REMEMBERED_MS)).await;
  fleet
}

/// Sends concurrent requests, each of which runs for `work_ms`.
async fn send(fleet: &Fleet, names: &[String], work_ms: &str) -> Vec<Result<Answer, String>> {
  let requests = names.iter().map(|name| {
    let headers = [(platform::REQUEST_ID, name.as_str()), (platform::WORK_MS, work_ms)];
    async move { fleet.send(ENTRY, Method::POST, ONCE, &headers).await }
  });
  futures_util::future::join_all(requests).await
}

fn names(stem: &str) -> Vec<String> {
  (0..TOGETHER).map(|number| format!("{stem}-{number}")).collect()
}

/// Checks that each request was served and ran once.
fn check(fleet: &Fleet, names: &[String], answers: &[Result<Answer, String>]) {
  for (name, answer) in names.iter().zip(answers) {
    let is_served = answer.as_ref().is_ok_and(Answer::is_served);
    let logs: Vec<String> = fleet.boxes.iter().map(ferryyoke_soak::SoakBox::log).collect();
    assert!(is_served, "{name}: {answer:?}\n{}", logs.join("\n"));
    let runs = fleet.record.borrow().runs.iter().filter(|run| run.request_id == *name).count();
    assert_eq!(runs, 1, "{name}");
  }
}

fn sever(fleet: &Fleet) {
  fleet.boxes.iter().for_each(ferryyoke_soak::SoakBox::sever);
}

#[test]
fn requests_on_dead_connections_are_served_once() {
  let playing = async {
    let fleet = fleet().await;
    let kept = names("kept");
    check(&fleet, &kept, &send(&fleet, &kept, "20").await);
    sever(&fleet);
    let lost = names("lost");
    check(&fleet, &lost, &send(&fleet, &lost, "20").await);
    // Severs the connections again during the recovery.
    sever(&fleet);
    let again = names("again");
    check(&fleet, &again, &send(&fleet, &again, "20").await);
  };
  ferryyoke::commands::block_on(playing).expect("an event loop");
}

#[test]
fn answers_lost_with_their_connections_are_delivered() {
  let playing = async {
    let fleet = fleet().await;
    let under_way = names("under-way");
    let severing = async {
      monoio::time::sleep(Duration::from_millis(250)).await;
      sever(&fleet);
    };
    let sending = send(&fleet, &under_way, "600");
    let (answers, ()) = futures_util::future::join(sending, severing).await;
    check(&fleet, &under_way, &answers);
  };
  ferryyoke::commands::block_on(playing).expect("an event loop");
}
