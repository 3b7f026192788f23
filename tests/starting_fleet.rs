//! Fleets whose boxes start one soon after the other, without entries in the store, in virtual time.
//!
//! Guards against a change that is confirmed while a fleet starts and that comes into force only seconds after its boxes
//! count as connected: while the fleet seemed to be forming, which lasted as long as boxes were added or an entry could
//! not be read, no box watched the store and none was linked to another.

mod support;

use {ferryyoke::store::Value, support::followers::Followers};

/// Milliseconds after its start at which a box counts as connected and must have changes in force in time.
const CONNECTED_MS: u64 = 3_000;

/// Milliseconds within which a confirmed change must be in force at connected boxes: the shortest bound of the
/// deployments.
const APPLY_MS: u64 = 2_000;

/// Virtual milliseconds between two looks.
const LOOK_MS: u64 = 50;

/// Starts `boxes` boxes within `span_ms`, and writes a change `after_ms` after the last start. Returns the boxes at which
/// it is not in force in time.
fn late_boxes(boxes: usize, span_ms: u64, after_ms: u64, is_spoiled: bool) -> Vec<usize> {
  let mut fleet = Followers::new();
  fleet.write_version(1);
  let (began, mut started) = (fleet.now, Vec::new());
  for index in 0..boxes {
    let due = began + span_ms * index as u64 / boxes as u64;
    fleet.run(due - fleet.now);
    started.push(fleet.now);
    fleet.start(index, due);
  }
  if is_spoiled {
    fleet.run(after_ms / 2);
    fleet.write_foreign("mesh/boxes/box-0", Value::unreadable("no text"));
    fleet.run(after_ms - after_ms / 2);
  } else {
    fleet.run(after_ms);
  }
  fleet.write_version(2);
  let confirmed = fleet.now;
  let bound = |index: usize| (started[index] + CONNECTED_MS).max(confirmed + APPLY_MS);
  let mut late = Vec::new();
  while fleet.now < bound(boxes - 1) + LOOK_MS {
    fleet.run(LOOK_MS);
    let now = fleet.now;
    let is_late = |index: &usize| now > bound(*index) && fleet.version(*index) != Some(2);
    late.extend((0..boxes).filter(is_late));
  }
  late.sort_unstable();
  late.dedup();
  late
}

fn check(boxes: usize) {
  for span_ms in [0, 500, 1_000, 2_000, 3_000] {
    for after_ms in [0, 250, 500, 1_000, 1_500, 2_000] {
      for is_spoiled in [false, true] {
        let late = late_boxes(boxes, span_ms, after_ms, is_spoiled);
        assert!(
          late.is_empty(),
          "started within {span_ms} ms, changed {after_ms} ms later, spoiled: {is_spoiled}: late at {late:?}"
        );
      }
    }
  }
}

/// A small fleet.
#[test]
fn a_change_while_a_small_fleet_starts_is_in_force_in_time() {
  check(13);
}

/// A fleet of 75 boxes, which find each other over several reads of the directory.
#[test]
fn a_change_while_a_large_fleet_starts_is_in_force_in_time() {
  check(75);
}
