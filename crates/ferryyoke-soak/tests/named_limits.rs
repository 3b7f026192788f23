//! A backend server that names a rate limit in its answers, on real processes.
//!
//! Guards against daemons that pass such answers on and send the backend server as much as before: two of six named 22
//! and 25 requests a second and got 300 in 4 s. The limit counts all boxes together. These tests inject no other fault
//! than the one that each names.

mod support;

use {
  ferryyoke_soak::{SoakBox, platform},
  futures_util::future::{join, join_all},
  http::{Method, StatusCode},
  std::time::{Duration, Instant},
  support::{Answer, Fleet, run},
};

/// Number of boxes. Every second one runs the service that the requests are for.
const BOXES: usize = 8;

/// Milliseconds after it first named a limit from which a backend server gets no more than that.
const CONTACT_MS: u64 = 3_000;

/// Length in milliseconds of the windows in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// The multiple of the limit that a window may hold, and how many requests more.
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_EXTRA: f64 = 5.0;

/// Callers of each box.
const CALLERS: usize = 2;

/// Milliseconds between two requests of a caller: all together send 123 a second.
const PAUSE_MS: u64 = 130;

/// Milliseconds after which a refusal counts as late.
const PROMPT_MS: u128 = 600;

/// A box whose backend server names a limit.
const LIMITED: usize = 2;

/// Results of the requests of all callers.
#[derive(Debug, Default)]
struct Results {
  /// Those refused later than [`PROMPT_MS`] or without a time to come back, with the box and what it logged of them.
  refused_badly: Vec<String>,
  sent: usize,
  served: usize,
}

async fn fleet() -> Fleet {
  let fleet = Fleet::prepare(BOXES);
  fleet.serve().await;
  fleet
}

/// Sends requests at all boxes for `for_ms`.
async fn load(fleet: &Fleet, for_ms: u64) -> Results {
  let until = Instant::now() + Duration::from_millis(for_ms);
  let callers = (0..BOXES * CALLERS).map(|number| call(fleet, number, until));
  let mut all = Results::default();
  for one in join_all(callers).await {
    all.refused_badly.extend(one.refused_badly);
    all.sent += one.sent;
    all.served += one.served;
  }
  all
}

/// Sends requests of 20 ms, and every sixth one of 300 ms, at all boxes for `for_ms`.
async fn load_mixed(fleet: &Fleet, for_ms: u64) {
  let until = Instant::now() + Duration::from_millis(for_ms);
  let callers = (0..BOXES * CALLERS).map(async |number: usize| {
    let mut sent = 0;
    while Instant::now() < until {
      let (id, work_ms) =
        (format!("mixed-{number}-{sent}"), if sent % 6 == 5 { "300" } else { "20" });
      let headers = [(platform::REQUEST_ID, id.as_str()), (platform::WORK_MS, work_ms)];
      let path = format!("/read/{id}");
      let sending = fleet.send(number % BOXES, Method::GET, &path, &headers);
      let pause = monoio::time::sleep(Duration::from_millis(PAUSE_MS));
      join(sending, pause).await.0.ok();
      sent += 1;
    }
  });
  join_all(callers).await;
}

async fn call(fleet: &Fleet, number: usize, until: Instant) -> Results {
  let mut results = Results::default();
  while Instant::now() < until {
    let id = format!("limited-{number}-{}", results.sent);
    let path = format!("/read/{id}");
    let began = Instant::now();
    let headers = [(platform::REQUEST_ID, id.as_str())];
    let sent = fleet.send(number % BOXES, Method::GET, &path, &headers);
    let pause = monoio::time::sleep(Duration::from_millis(PAUSE_MS));
    let answer = join(async { (sent.await, began.elapsed().as_millis()) }, pause).await.0;
    results.sent += 1;
    match answer {
      (Ok(answer), _) if answer.is_served() => results.served += 1,
      (Ok(answer), took_ms) if is_bad(&answer, took_ms) => {
        let logged = logged(fleet, &id);
        results
          .refused_badly
          .push(format!("box {}: {took_ms} ms: {answer:?}\n{logged}", number % BOXES));
      }
      _ => {}
    }
  }
  results
}

/// Returns the log lines of all boxes about a request.
fn logged(fleet: &Fleet, id: &str) -> String {
  let logs = fleet.boxes.iter().map(SoakBox::log).collect::<Vec<_>>().join("\n");
  logs.lines().filter(|line| line.contains(&format!("{id} "))).collect::<Vec<_>>().join("\n")
}

fn is_bad(refusal: &Answer, took_ms: u128) -> bool {
  let is_dated = !refusal.header("retry-after").is_empty();
  refusal.status != StatusCode::SERVICE_UNAVAILABLE || !is_dated || took_ms > PROMPT_MS
}

/// Milliseconds since the fleet was prepared, on the clock of the recorded runs.
fn last_run_ms(fleet: &Fleet) -> u64 {
  fleet.record.borrow().runs.iter().map(|run| run.at_ms).max().unwrap_or(0)
}

/// Returns when each run at a box's current process began, from `from_ms` on.
fn runs_ms(fleet: &Fleet, index: usize, from_ms: u64) -> Vec<u64> {
  let process = fleet.boxes[index].backend_server.process();
  let record = fleet.record.borrow();
  let runs = record.runs.iter().filter(|run| run.instance == process && run.at_ms >= from_ms);
  runs.map(|run| run.at_ms).collect()
}

/// Checks each window that begins later than [`CONTACT_MS`] after `named_ms`.
fn check_windows(fleet: &Fleet, index: usize, limit_per_s: f64, named_ms: u64) {
  let runs = runs_ms(fleet, index, named_ms + CONTACT_MS);
  #[allow(clippy::cast_precision_loss)]
  let allowed = limit_per_s * (WINDOW_MS as f64 / 1_000.0) * WINDOW_FACTOR + WINDOW_EXTRA;
  let in_window = |first: usize| {
    let is_inside = |at_ms: &&u64| **at_ms < runs[first] + WINDOW_MS;
    runs[first..].iter().take_while(is_inside).count()
  };
  let most = (0..runs.len()).map(in_window).max().unwrap_or(0);
  println!("box {index}: limit {limit_per_s} a second, at most {most} in 4 s, allowed {allowed}");
  #[allow(clippy::cast_precision_loss)]
  let is_kept = most as f64 <= allowed;
  assert!(is_kept, "{most} requests in 4 s, allowed {allowed}\n{}", fleet.boxes[index].log());
  assert!(!runs.is_empty(), "it gets no requests at all");
}

#[test]
fn a_backend_server_gets_no_more_than_the_limit_that_it_names() {
  run(async {
    let fleet = fleet().await;
    load(&fleet, 1_000).await;
    let named_ms = last_run_ms(&fleet);
    fleet.boxes[LIMITED].backend_server.name_limit(Some(10.0));
    let results = load(&fleet, 10_000).await;
    println!("{results:?}");
    check_windows(&fleet, LIMITED, 10.0, named_ms);
    assert!(results.served * 100 >= results.sent * 98, "the others have room: {results:?}");
  });
}

/// The whole service is in need: what its limits allow is served, the rest is refused at once.
#[test]
fn a_service_in_need_serves_what_its_limits_allow() {
  run(async {
    let fleet = fleet().await;
    load(&fleet, 1_000).await;
    let named_ms = last_run_ms(&fleet);
    let limited: Vec<usize> = (0..BOXES).step_by(2).collect();
    for index in &limited {
      fleet.boxes[*index].backend_server.name_limit(Some(8.5));
    }
    load(&fleet, CONTACT_MS).await;
    let results = load(&fleet, 8_000).await;
    println!("{results:?}");
    for index in &limited {
      check_windows(&fleet, *index, 8.5, named_ms);
    }
    // Four servers in eight seconds.
    assert!(results.served * 10 >= 4 * 8 * 85 / 10 * 9, "limits are left unused: {results:?}");
    assert!(results.refused_badly.is_empty(), "{}", results.refused_badly.join("\n"));
  });
}

/// The daemon beside the limited backend server is killed and starts again: the other boxes were told of the limit.
#[test]
fn a_named_limit_survives_a_restart_of_the_daemon_beside_it() {
  run(async {
    let fleet = fleet().await;
    load(&fleet, 1_000).await;
    let named_ms = last_run_ms(&fleet);
    fleet.boxes[LIMITED].backend_server.name_limit(Some(1.0));
    load(&fleet, CONTACT_MS).await;
    for _ in 0..3 {
      let restarting = async {
        monoio::time::sleep(Duration::from_secs(1)).await;
        fleet.restart(LIMITED);
      };
      join(load(&fleet, 3_000), restarting).await;
    }
    check_windows(&fleet, LIMITED, 1.0, named_ms);
  });
}

/// Guards against a limit that outlives its naming: the backend server would be left idle.
#[test]
fn a_limit_ends_when_answers_no_longer_name_it() {
  run(async {
    let fleet = fleet().await;
    fleet.boxes[LIMITED].backend_server.name_limit(Some(2.0));
    load(&fleet, 3_000).await;
    fleet.boxes[LIMITED].backend_server.name_limit(None);
    load(&fleet, 3_000).await;
    let from_ms = last_run_ms(&fleet);
    load(&fleet, 3_000).await;
    let runs = runs_ms(&fleet, LIMITED, from_ms).len();
    assert!(runs > 30, "{runs} requests in 3 s, where a quarter of 360 is its share");
  });
}

/// Guards against a backend server that gets almost no requests for long after its limit ended, and against one that gets
/// none at all, since it looked slow or full once.
#[test]
fn a_backend_server_gets_its_share_again_after_its_limit_ended() {
  run(async {
    let fleet = fleet().await;
    load_mixed(&fleet, 3_000).await;
    fleet.boxes[LIMITED].backend_server.name_limit(Some(1.0));
    load_mixed(&fleet, 4_000).await;
    fleet.boxes[LIMITED].backend_server.name_limit(None);
    load_mixed(&fleet, 8_000).await;
    let from_ms = last_run_ms(&fleet);
    load_mixed(&fleet, 4_000).await;
    let runs: Vec<usize> =
      (0..BOXES).step_by(2).map(|index| runs_ms(&fleet, index, from_ms).len()).collect();
    println!("{runs:?} runs in 4 s");
    let share = runs.iter().sum::<usize>() / runs.len();
    assert!(runs[LIMITED / 2] * 2 >= share, "{runs:?}, where its share is {share}");
    assert!(runs.iter().all(|runs| *runs > 0), "one gets no requests: {runs:?}");
  });
}
