//! Addresses of backend servers that another service's backend server takes over, on real processes.
//!
//! The health endpoint names a process, but not its service, and the settings name a service that may be out of date.
//! Only a report names the service of a process.

mod support;

use {
  ferryyoke_soak::platform,
  futures_util::future::join_all,
  http::Method,
  std::{
    rc::Rc,
    time::{Duration, Instant},
  },
  support::{Answer, Fleet, run, soon},
};

/// Number of boxes. Every second one serves the first service.
const BOXES: usize = 4;

/// The box whose address another service takes over, and that service. It served the first one before.
const REUSED: (usize, &str) = (0, "registry");

/// The paths of the services' routes: of requests that may be repeated, and of others.
const PATHS: [(&str, &str); 3] = [("read", "archive"), ("send", "registry"), ("upload", "archive")];

/// Milliseconds for which an address stays free before it is reused.
const FREE_MS: u64 = 2_000;

/// Milliseconds until the first report of the new process.
const SILENT_MS: u64 = 1_400;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 10_000;

/// Milliseconds between two requests of a caller.
const PAUSE_MS: u64 = 20;

async fn pause(ms: u64) {
  monoio::time::sleep(Duration::from_millis(ms)).await;
}

/// Sends requests of all routes at all boxes for `for_ms`. Their ids name the route and the box. Returns how many were
/// sent and how many were served.
async fn load(fleet: &Fleet, name: &str, for_ms: u64) -> (usize, usize) {
  let until = Instant::now() + Duration::from_millis(for_ms);
  let callers = PATHS.iter().flat_map(|path| (0..BOXES).map(move |index| (path.0, index)));
  let callers = callers.map(|(path, index)| call(fleet, name, path, index, until));
  join_all(callers).await.iter().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
}

async fn call(
  fleet: &Fleet,
  name: &str,
  path: &str,
  index: usize,
  until: Instant,
) -> (usize, usize) {
  let (mut sent, mut served) = (0, 0);
  let method = if path == "read" { Method::GET } else { Method::POST };
  while Instant::now() < until {
    let id = format!("{path}-{index}-{name}-{sent}");
    let headers = [(platform::REQUEST_ID, id.as_str())];
    let answer = fleet.send(index, method.clone(), &format!("/{path}/{sent}"), &headers).await;
    sent += 1;
    served += usize::from(answer.as_ref().is_ok_and(Answer::is_served));
    pause(PAUSE_MS).await;
  }
  (sent, served)
}

/// Returns the runs at another service than that of their route.
fn misrouted(fleet: &Fleet) -> Vec<String> {
  let record = fleet.record.borrow();
  let is_wrong = |run: &&ferryyoke_soak::Run| {
    PATHS.iter().any(|(path, service)| run.request_id.starts_with(path) && run.service != *service)
  };
  let wrong = record.runs.iter().filter(is_wrong);
  wrong.map(|run| format!("{} at {} of {}", run.request_id, run.instance, run.service)).collect()
}

/// Frees the address of the backend server under load, and restarts the daemon beside it meanwhile if `restarts`.
async fn free_address(fleet: &Fleet, restarts: bool) {
  let one = &fleet.boxes[REUSED.0];
  let freed_at = Instant::now();
  one.backend_server.end_for_good();
  load(fleet, "freed", FREE_MS / 4).await;
  if restarts {
    assert!(one.kill().expect("the daemon ends"));
    pause(FREE_MS / 4).await;
    fleet.start(REUSED.0);
  }
  let left = Duration::from_millis(FREE_MS).saturating_sub(freed_at.elapsed());
  monoio::time::sleep(left).await;
}

// Guards against a restarted daemon that takes the process which its backend server's health endpoint names for one of
// the service in the settings, and passes that service's requests to it.
#[test]
fn a_restarted_daemon_sends_no_request_to_another_service_at_a_reused_address() {
  run(async {
    for names_service in [true, false] {
      let fleet = Fleet::prepare(BOXES);
      fleet.serve().await;
      free_address(&fleet, true).await;
      let one = &fleet.boxes[REUSED.0];
      if names_service {
        one.name_service(REUSED.1).expect("settings");
        one.signal("HUP").expect("the daemon runs");
      }
      one.backend_server.give_address_to(REUSED.1);
      let (sent, served) = load(&fleet, "silent", SILENT_MS).await;
      one.backend_server.begin_reports().await;
      load(&fleet, "reported", SILENT_MS).await;
      let misrouted = misrouted(&fleet);
      assert!(misrouted.is_empty(), "{misrouted:?}\n{}", one.log());
      assert!(served * 10 >= sent * 9, "{served} of {sent} served, though the others have room");
      let process = one.backend_server.process();
      let runs = fleet.record.borrow().runs.iter().filter(|run| run.instance == process).count();
      assert!(runs > 0, "it gets its own service's requests once it has reported\n{}", one.log());
    }
  });
}

// Guards against requests that begin beside another service's server and go on naming the former service as their
// caller until that server's first report.
#[test]
fn requests_that_begin_beside_a_reused_address_name_its_new_service() {
  run(async {
    for signals in [true, false] {
      let fleet = Fleet::prepare(BOXES);
      fleet.serve().await;
      free_address(&fleet, false).await;
      let one = &fleet.boxes[REUSED.0];
      one.name_service(REUSED.1).expect("settings");
      if signals {
        one.signal("HUP").expect("the daemon runs");
      }
      let until = soon(MAX_WAIT_MS);
      while !one.log().contains("the settings name another service") {
        assert!(Instant::now() < until, "the settings are not read again\n{}", one.log());
        pause(PAUSE_MS).await;
      }
      one.backend_server.give_address_to(REUSED.1);
      load(&fleet, "silent", SILENT_MS).await;
      let record = fleet.record.borrow();
      let beside = |run: &&ferryyoke_soak::Run| run.request_id.contains("-0-silent-");
      let callers: Vec<&str> =
        record.runs.iter().filter(beside).map(|run| run.caller.as_str()).collect();
      assert!(!callers.is_empty());
      let former = callers.iter().filter(|caller| **caller != REUSED.1).count();
      assert_eq!(former, 0, "of {} runs\n{}", callers.len(), one.log());
    }
  });
}

// Guards against a restarted daemon that waits for a report of the backend server beside which it was restarted.
#[test]
fn a_daemon_restarted_beside_a_living_backend_server_serves_without_a_report() {
  run(async {
    let fleet = Rc::new(Fleet::prepare(BOXES / 2));
    fleet.serve().await;
    let one = &fleet.boxes[REUSED.0];
    one.backend_server.pause_reports();
    for _ in 0..3 {
      fleet.restart(REUSED.0);
      let started = Instant::now();
      // No report comes, so a daemon that waits for one never serves.
      fleet.ask_until(REUSED.0, "/read/", soon(MAX_WAIT_MS), Answer::is_served).await;
      println!("served again after {} ms", started.elapsed().as_millis());
    }
  });
}
