//! Invalid items of a foreign writer in the platform's store, on real processes.
//!
//! Guards against an invalid item (bytes that are no text or no base64, or a missing field) that hides the valid items
//! in the same answer of the store. When the store's client rejected such an answer as a whole, it got the same answer
//! again, and whole fleets refused requests on an added route without learning of the newer version. These tests
//! inject no other fault.

mod support;

use {
  base64::{Engine, prelude::BASE64_STANDARD},
  ferryyoke_soak::platform,
  serde_json::{Value, json},
  std::time::Duration,
  support::{Answer, Fleet, soon},
};

/// Number of boxes, in three data halls, so that only some of them watch the store.
const BOXES: usize = 10;

/// Milliseconds within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 2_000;

/// Milliseconds for an invalid item to take effect: several rounds of periodic reads.
const EFFECT_MS: u64 = 3_000;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// Paths of routes that every version has, one for each service.
const KNOWN: [&str; 2] = ["/read/", "/send/"];

/// Returns fields of unreadable items: no text, no base64, and fields of a wrong type or missing.
fn unreadable() -> [Value; 5] {
  [
    json!({ "Value": "//79" }),
    json!({ "Value": "not base64!" }),
    json!({ "Value": 7 }),
    json!({ "Value": null }),
    json!({ "Revision": "seven", "Value": {} }),
  ]
}

/// Starts a fleet that serves with version 1 of the configuration.
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
    fleet.ask_until(index, path, soon(MAX_WAIT_MS), Answer::is_served).await;
  }
}

/// Adds one more route, and checks that it is in force on every box in time.
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

/// The valid configuration comes either in the same answer as the unreadable one or long after it.
#[test]
fn an_unreadable_configuration_delays_no_later_one_and_keeps_the_current_one() {
  run(async {
    let fleet = fleet().await;
    for (round, fields) in (0..).zip(unreadable()) {
      fleet.write_foreign("op/config", &fields);
      check_change(&fleet, 2 * round + 2).await;

      fleet.write_foreign("op/config", &fields);
      pause(EFFECT_MS).await;
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
      pause(EFFECT_MS).await;
      let starting = usize::try_from(version).expect("a small number");
      fleet.restart(starting);
      wait_until_served(&fleet, starting).await;
      check_change(&fleet, version).await;
    }
  });
}

/// Returns fields of odd items: nested deeply, with numbers too large, and valid entries but for a number or a port.
fn odd_items(entry: &str) -> Vec<Value> {
  /// Deeper than readers of JSON go.
  const NESTED: usize = 1_000;
  let nested = (0..NESTED).fold(json!(7), |inner, _| json!([inner]));
  let encoded = |text: &str| json!({ "Value": BASE64_STANDARD.encode(text) });
  let mut odd = vec![
    json!({ "Value": nested }),
    json!({ "Revision": 1e300 }),
    json!({ "Revision": u64::MAX }),
    json!({ "Lease": nested, "Value": BASE64_STANDARD.encode(entry) }),
    encoded(&"[".repeat(100_000)),
    encoded(&format!("{{\"odd\":{nested},{}", &entry[1..])),
  ];
  for number in ["18446744073709551615", "18446744073709551616", "1e400", "-1"] {
    for field in ["\"n\":8", "\"l\":1000"] {
      let name = field.split(':').next().unwrap_or_default();
      odd.push(encoded(&entry.replace(field, &format!("{name}:{number}"))));
    }
  }
  let port = entry.split("127.0.0.1:").nth(1).and_then(|rest| rest.split('"').next());
  let port = port.expect("an entry names an address");
  for other in ["0", "65536", "99999999999999999999"] {
    odd.push(encoded(&entry.replace(port, other)));
  }
  odd
}

/// Guards against an odd entry of another writer (nested deeply, with a number too large or a port out of range) that
/// ends the daemons that read it, again and again, or keeps them from following the list.
#[test]
fn an_odd_entry_ends_no_daemon_and_hides_no_other_box_and_no_change() {
  run(async {
    let fleet = fleet().await;
    let entry = fleet.store.value(&platform::entry_key(0)).expect("box 0 has an entry");
    for (version, fields) in (2..).zip(odd_items(&entry)) {
      fleet.write_foreign(&platform::entry_key(0), &fields);
      fleet.write_foreign("mesh/boxes/foreign", &fields);
      pause(EFFECT_MS / 4).await;
      check_change(&fleet, version).await;
      let codes: Vec<_> = fleet.boxes.iter().map(|one| one.exit_code().expect("known")).collect();
      assert!(codes.iter().all(Option::is_none), "{fields} ended daemons: {codes:?}");
    }
    fleet.restart(1);
    for index in 0..BOXES {
      wait_until_served(&fleet, index).await;
    }
  });
}
