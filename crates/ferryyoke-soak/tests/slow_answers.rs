//! Answers that take long to cross a link between boxes, on real processes.
//!
//! Guards against answers that are counted as lost while they are still queued at a narrow link. The box had written
//! the answer a second before, and reported the try as ended when queried. The sender took "ended a while ago" for
//! "lost" and closed the connection that carried the answer: logs repeatedly reported a lost answer of a try that was
//! sent again, and callers got 502 for an answer lost with the connection, though no connection was reset or silent.

mod support;

use {
  ferryyoke_soak::platform,
  http::Method,
  std::time::{Duration, Instant},
  support::{Answer, Fleet, run},
};

/// Number of boxes, each with its own service.
const BOXES: usize = 2;

/// The box that receives the callers' requests. The other box runs them.
const ENTRY: usize = 1;

/// Bandwidth of each box's link in megabits per second.
const LINK_MBPS: u64 = 1;

/// Size of each answer in bytes: together they take 2.9 s to cross, and the sender queries the box for them 2.1 s after
/// it sent the requests.
const ANSWER_BYTES: &str = "60000";

/// Number of concurrent requests.
const TOGETHER: usize = 6;

#[test]
fn an_answer_queued_at_a_full_link_is_not_counted_as_lost() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    for one in &fleet.boxes {
      one.narrow(LINK_MBPS).expect("settings");
    }
    fleet.serve().await;
    let headers = [(platform::ANSWER_BYTES, ANSWER_BYTES), (platform::WORK_MS, "20")];
    let requests = (0..TOGETHER).map(|_| fleet.send(ENTRY, Method::GET, "/read/page", &headers));
    let answers = futures_util::future::join_all(requests).await;
    let log = fleet.boxes[ENTRY].log();
    assert!(!log.contains("was lost"), "an answer was counted as lost:\n{log}");
    let is_served = |answer: &Result<Answer, String>| answer.as_ref().is_ok_and(Answer::is_served);
    let statuses: Vec<_> = answers.iter().map(|one| one.as_ref().map(|one| one.status)).collect();
    assert!(answers.iter().all(is_served), "{statuses:?}\n{log}");
  });
}

/// If a connection goes silent in the middle of an answer, the caller learns of it soon after the route's timeout, not
/// only when the connection ends.
#[test]
fn an_answer_that_goes_silent_midway_is_given_up() {
  /// Milliseconds after which the connection goes silent: the head has arrived, and the body takes half a second.
  const SILENT_MS: u64 = 250;
  /// The route's timeout plus the tolerance for a late answer, in milliseconds.
  const ANSWERED_MS: u64 = 2_000 + 1_500;
  run(async {
    let fleet = Fleet::prepare(BOXES);
    for one in &fleet.boxes {
      one.narrow(LINK_MBPS).expect("settings");
    }
    fleet.serve().await;
    let headers = [(platform::ANSWER_BYTES, ANSWER_BYTES), (platform::WORK_MS, "20")];
    let sent_at = Instant::now();
    let asking = async {
      let answer = fleet.send(ENTRY, Method::GET, "/read/page", &headers).await;
      (answer, sent_at.elapsed())
    };
    let severing = async {
      monoio::time::sleep(Duration::from_millis(SILENT_MS)).await;
      fleet.boxes[0].sever();
    };
    let ((answer, took), ()) = futures_util::future::join(asking, severing).await;
    println!("{answer:?} after {took:?}");
    assert!(answer.is_ok(), "{answer:?} after {took:?}");
    assert!(took < Duration::from_millis(ANSWERED_MS), "{answer:?} after {took:?}");
  });
}
