//! Connections that go silent for good, without an end, an error or an answer, while new ones work.
//!
//! A firewall that drops the state of a connection, a load balancer that loses its table, or a
//! store that restarts behind one leaves daemons with connections that never carry an answer again.
//! Boxes with a silent watch kept an old configuration for up to 25 s, because renewals of their
//! leases over other connections succeeded: 16 to 40 requests per run were routed by an old
//! version, on fleets of 13 boxes.

mod support;

use support::followers::Followers;

/// Boxes of the fleet, in three data halls. Two boxes of each data hall watch the store.
const BOXES: usize = 24;

/// Time, in milliseconds, that operators allow until a change is in force.
const APPLY_MS: u64 = 2_000;

/// Time, in milliseconds, after the silence begins during which nothing is guaranteed.
const CONTACT_MS: u64 = 3_000;

const NOBODY: [usize; 0] = [];

/// Returns an idle fleet that holds version 1.
fn fleet(rest_ms: u64) -> Followers {
  let mut fleet = Followers::new();
  fleet.write_version(1);
  for index in 0..BOXES {
    fleet.start(index, 1_000);
  }
  fleet.run(4_000 + rest_ms);
  assert_eq!(late(&fleet, 1), NOBODY);
  fleet
}

/// Returns the boxes that do not hold a version.
fn late(fleet: &Followers, version: u64) -> Vec<usize> {
  fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(version))
}

/// Renewals and reads of the directory continue to succeed, so only the changes themselves reveal
/// the silence.
#[test]
fn a_change_is_in_force_in_time_though_the_watch_of_one_box_is_silent() {
  for index in 0..BOXES {
    let mut fleet = fleet(0);
    fleet.silence_watches([index].into_iter());
    fleet.run(500);
    fleet.write_version(2);
    fleet.run(APPLY_MS);
    assert_eq!(late(&fleet, 2), NOBODY, "box {index}: {:#?}", fleet.logged);
  }
}

#[test]
fn a_change_is_in_force_in_time_though_all_watches_of_a_data_hall_are_silent() {
  for hall in 0..3 {
    let mut fleet = fleet(0);
    fleet.silence_watches((0..BOXES).filter(|index| index % 3 == hall));
    fleet.run(500);
    fleet.write_version(2);
    fleet.run(APPLY_MS);
    assert_eq!(late(&fleet, 2), NOBODY, "data hall {hall}: {:#?}", fleet.logged);
  }
}

/// No neighbour anywhere receives the change.
#[test]
fn a_change_is_in_force_in_time_though_all_watches_are_silent() {
  for rest_ms in (0..6_000).step_by(400) {
    let mut fleet = fleet(rest_ms);
    fleet.silence_watches(0..BOXES);
    fleet.run(CONTACT_MS);
    fleet.write_version(2);
    fleet.run(APPLY_MS);
    assert_eq!(late(&fleet, 2), NOBODY, "{rest_ms} ms later: {:#?}", fleet.logged);
  }
}

/// Watches go silent again while boxes recover, and again in the middle of a change.
#[test]
fn changes_are_in_force_in_time_though_watches_go_silent_again_and_again() {
  for rest_ms in (0..2_000).step_by(250) {
    let mut fleet = fleet(rest_ms);
    let mut version = 1;
    for _ in 0..4 {
      fleet.silence_watches(0..BOXES);
      fleet.run(1_100);
      fleet.silence_watches((0..BOXES).filter(|index| index % 2 == 0));
      fleet.run(CONTACT_MS);
      version += 1;
      fleet.write_version(version);
      fleet.run(30);
      fleet.silence_watches(0..BOXES / 2);
      fleet.run(APPLY_MS);
      assert_eq!(late(&fleet, version), NOBODY, "{rest_ms} ms later: {:#?}", fleet.logged);
    }
  }
}

/// A box that receives nothing more closes the link; if only its own messages are lost, the other
/// side closes it.
#[test]
fn a_change_is_in_force_in_time_though_links_are_silent_one_way_or_both() {
  for (outward, inward) in [(true, false), (false, true), (true, true)] {
    for index in 0..BOXES {
      let mut fleet = fleet(0);
      for other in (0..BOXES).filter(|other| *other != index) {
        if outward {
          fleet.silence_links(index, other);
        }
        if inward {
          fleet.silence_links(other, index);
        }
      }
      fleet.run(CONTACT_MS);
      fleet.write_version(2);
      fleet.run(APPLY_MS);
      assert_eq!(late(&fleet, 2), NOBODY, "box {index}: {:#?}", fleet.logged);
    }
  }
}

/// Detection must stay cheap for the store: a fleet of any size starts one watch every second and a
/// half, and makes no other call for this purpose.
#[test]
fn restarted_watches_cost_the_store_less_than_a_call_a_second() {
  let mut fleet = fleet(2_000);
  let before = fleet.watches_begun;
  fleet.run(30_000);
  let begun = fleet.watches_begun - before;
  assert!(begun <= 24, "{begun} watches in 30 s");
}
