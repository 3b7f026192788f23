//! Answers to callers while the platform's store holds a version that the daemons refuse, on real processes.
//!
//! Guards against boxes that know of a newer version but answer requests on its routes with 404, which callers take
//! for their own mistake and don't retry, and against boxes that start in this state without any configuration. Such a
//! request must be answered with `retry-after` and both versions, routes in force must still be served, a starting
//! daemon must get the version in force from its neighbours, and a valid version must end this state in time.

mod support;

use {
  ferryyoke::proxy::headers,
  ferryyoke_soak::platform,
  http::StatusCode,
  support::{Answer, Fleet, soon},
};

/// Number of boxes, in three data halls, so that only some of them watch the store. The last one starts only while the
/// store's version is refused.
const BOXES: usize = 10;

/// The version that is in force at first.
const IN_FORCE: u64 = 1;

/// A version with a route to a service that it does not list.
const REFUSED: u64 = 2;

/// A version with the same route, to a listed service.
const SOUND: u64 = 3;

/// Paths of routes that every version has, one for each service.
const KNOWN: [&str; 2] = ["/read/", "/send/"];

/// A path that no version has a route for.
const UNKNOWN: &str = "/nowhere/";

/// Milliseconds within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 2_500;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// Whether the answer says that the request didn't run because the refused version may have its route.
fn is_behind(answer: &Answer) -> bool {
  answer.status == StatusCode::SERVICE_UNAVAILABLE
    && answer.header("retry-after").parse::<f64>().is_ok_and(|seconds| seconds > 0.0)
    && [IN_FORCE, REFUSED].iter().all(|one| answer.body.contains(&format!("version {one} ")))
}

/// Waits until a started box has a configuration and reaches the backend servers.
async fn wait_until_served(fleet: &Fleet, index: usize) {
  for path in KNOWN {
    fleet.ask_until(index, path, soon(MAX_WAIT_MS), Answer::is_served).await;
  }
}

/// Checks that a box knows of the refused version, and that the one before it is in force.
async fn check_behind(fleet: &Fleet, index: usize) {
  let new_path = platform::added_path(1);
  fleet.ask_until(index, &new_path, soon(MAX_WAIT_MS), is_behind).await;
  fleet.ask_once(index, UNKNOWN, is_behind).await;
  for path in KNOWN {
    let is_by_first = |answer: &Answer| {
      answer.is_served() && answer.header(headers::VERSION) == IN_FORCE.to_string()
    };
    fleet.ask_once(index, path, is_by_first).await;
  }
}

#[test]
fn callers_are_told_to_come_back_while_the_newest_version_is_refused() {
  let playing = async {
    let fleet = Fleet::prepare(BOXES);
    let new_path = platform::added_path(1);
    let (early, late) = (0..BOXES - 1, BOXES - 1);

    fleet.write(IN_FORCE, 0, "safe");
    early.clone().for_each(|index| fleet.start(index));
    for index in early.clone() {
      wait_until_served(&fleet, index).await;
      fleet.ask_once(index, UNKNOWN, Answer::is_unknown).await;
      fleet.ask_once(index, &new_path, Answer::is_unknown).await;
    }

    fleet.write_unlisted(REFUSED);
    for index in early {
      check_behind(&fleet, index).await;
    }
    fleet.start(late);
    wait_until_served(&fleet, late).await;
    check_behind(&fleet, late).await;
    fleet.restart(0);
    wait_until_served(&fleet, 0).await;
    check_behind(&fleet, 0).await;

    fleet.write(SOUND, 1, "safe");
    let until = soon(IN_FORCE_MS);
    for index in 0..BOXES {
      fleet.ask_until(index, &new_path, until, Answer::is_served).await;
    }
    for index in 0..BOXES {
      fleet.ask_once(index, UNKNOWN, Answer::is_unknown).await;
    }
  };
  ferryyoke::commands::block_on(playing).expect("an event loop");
}
