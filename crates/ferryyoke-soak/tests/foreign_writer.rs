//! Items of another writer in the platform's store, on real processes.
//!
//! Seen: after a change was accepted, whole fleets went on refusing requests on the route that it had added,
//! without knowing that there was a newer version. How it came about: an item whose bytes are no text, no
//! base64, or that lacks a field, stood beside the items that daemons read, or came before a sound
//! configuration in the same answer. What caused it: the store's client read an answer as a whole or not at
//! all, so one such item hid all others, and the same answer came again. What proved it: these tests, in which
//! nothing else is wrong.

mod support;

use {
  ferryyoke_soak::platform,
  serde_json::{Value, json},
  std::time::Duration,
  support::{Answer, Fleet, soon},
};

/// Boxes of the fleet, in three data halls, so that some watch the store and some do not.
const BOXES: usize = 10;

/// Milliseconds within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 2_000;

/// Milliseconds until an item has done its harm: several reads of whatever is read in turns.
const HARM_MS: u64 = 3_000;

/// Milliseconds for everything that need not be fast.
const PATIENCE_MS: u64 = 20_000;

/// Paths of routes of every version, one for each service.
const KNOWN: [&str; 2] = ["/read/", "/send/"];

/// Items that cannot be read: no text, no base64, and fields of another type or missing.
fn unreadable() -> [Value; 5] {
  [
    json!({ "Value": "//79" }),
    json!({ "Value": "not base64!" }),
    json!({ "Value": 7 }),
    json!({ "Value": null }),
    json!({ "Revision": "seven", "Value": {} }),
  ]
}

/// A fleet that serves by its first version.
async fn fleet() -> Fleet {
  let fleet = Fleet::prepare(BOXES);
  fleet.write(1, 0, "safe");
  (0..BOXES).for_each(|index| fleet.start(index));
  for index in 0..BOXES {
    wait_until_served(&fleet, index).await;
  }
  fleet
}

async fn wait_until_served(fleet: &Fleet, index: usize) {
  for path in KNOWN {
    fleet.ask_until(index, path, soon(PATIENCE_MS), Answer::is_served).await;
  }
}

/// The operators add one more route, and it must be in force on every box in time.
async fn check_change(fleet: &Fleet, version: u64) {
  let added = usize::try_from(version).expect("a small number") - 1;
  let path = platform::added_path(added);
  fleet.write(version, added, "safe");
  let until = soon(IN_FORCE_MS);
  for index in 0..BOXES {
    fleet.ask_until(index, &path, until, Answer::is_served).await;
  }
}

fn run(test: impl Future<Output = ()>) {
  ferryyoke::commands::block_on(test).expect("an event loop");
}

async fn pause(ms: u64) {
  monoio::time::sleep(Duration::from_millis(ms)).await;
}

/// Whether the later one comes in the same answer or finds the unreadable one in its place for long.
#[test]
fn an_unreadable_configuration_holds_up_no_later_one_and_takes_nothing_away() {
  run(async {
    let fleet = fleet().await;
    for (round, fields) in (0..).zip(unreadable()) {
      fleet.write_foreign("op/config", &fields);
      check_change(&fleet, 2 * round + 2).await;

      fleet.write_foreign("op/config", &fields);
      pause(HARM_MS).await;
      let starting = usize::try_from(round).expect("a small number");
      fleet.restart(starting);
      wait_until_served(&fleet, starting).await;
      for index in 0..BOXES {
        fleet.ask_once(index, KNOWN[0], Answer::is_served).await;
      }
      check_change(&fleet, 2 * round + 3).await;
    }
  });
}

#[test]
fn an_unreadable_entry_in_the_directory_hides_no_other_box_and_no_change() {
  run(async {
    let fleet = fleet().await;
    for (version, fields) in (2..).zip(unreadable()) {
      fleet.write_foreign(&format!("mesh/boxes/foreign-{version}"), &fields);
      pause(HARM_MS).await;
      let starting = usize::try_from(version).expect("a small number");
      fleet.restart(starting);
      wait_until_served(&fleet, starting).await;
      check_change(&fleet, version).await;
    }
  });
}
