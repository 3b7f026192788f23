//! What callers get when open connections go silent for good, on real processes.
//!
//! Seen: half of the connections between boxes went silent while new ones were well. 185 to 534 requests a play
//! were sent on connections that were dead already, or lost their answer there: they waited to their deadlines
//! and ended with 502 or 504, and callers could not send those again that may not run twice. Protected here: a
//! request that never arrived goes elsewhere, and runs once; an answer that was lost on the way is delivered.

mod support;

use {
  ferryyoke_soak::platform,
  http::Method,
  std::time::Duration,
  support::{Answer, Fleet, soon},
};

/// Boxes of the fleet, of two services by turns.
const BOXES: usize = 4;

/// The box at which callers come. Its own service is not the one that they want.
const ENTRY: usize = 0;

/// A path whose requests may not run twice.
const ONCE: &str = "/send/";

/// Milliseconds for everything that need not be fast.
const PATIENCE_MS: u64 = 20_000;

/// Milliseconds that daemons run: one that was started just now cannot tell what its former life was sent.
const REMEMBERED_MS: u64 = 1_500;

/// Requests that are under way at once, so that as many connections are kept.
const TOGETHER: usize = 6;

async fn fleet() -> Fleet {
  let fleet = Fleet::prepare(BOXES);
  fleet.write(1, 0, "safe");
  for index in 0..BOXES {
    fleet.start(index);
  }
  for index in 0..BOXES {
    for path in [ONCE, "/read/"] {
      fleet.ask_until(index, path, soon(PATIENCE_MS), Answer::is_served).await;
    }
  }
  monoio::time::sleep(Duration::from_millis(REMEMBERED_MS)).await;
  fleet
}

/// Sends requests at once, each worked on for so long.
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

/// Each request was served, and ran once.
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
fn requests_on_connections_that_were_dead_before_are_served_once() {
  let playing = async {
    let fleet = fleet().await;
    let kept = names("kept");
    check(&fleet, &kept, &send(&fleet, &kept, "20").await);
    sever(&fleet);
    let lost = names("lost");
    check(&fleet, &lost, &send(&fleet, &lost, "20").await);
    // Again, during the recovery from the first time.
    sever(&fleet);
    let again = names("again");
    check(&fleet, &again, &send(&fleet, &again, "20").await);
  };
  ferryyoke::commands::block_on(playing).expect("an event loop");
}

#[test]
fn answers_that_were_lost_with_their_connections_are_delivered() {
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
