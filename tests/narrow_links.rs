//! A large configuration in a fleet whose links are mostly narrow.
//!
//! Checks the time until every box holds a version. Reading the whole configuration fills a link of
//! 10 Mbit/s for a second, and all other messages to that box queue behind it. So only few boxes
//! may read it, updates between boxes must be small, and a neighbour whose messages are queued
//! behind a large one must not be taken for failed. Time is virtual; each link is a first-in,
//! first-out queue, see `support::box_links`.

mod support;

use {
  ferryyoke::platform::OperatorSource,
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
  },
  support::{cached_source::CachedSource, followers::Followers, operator_routes},
};

/// Boxes, fourteen in each of three data halls.
const BOXES: usize = 42;
/// Boxes with wide links, two in each data hall. These watch the store.
const WIDE: usize = 6;
/// Number of routes before and after the change.
const FEW: usize = 3_200;
const MANY: usize = 4_600;
/// Milliseconds of one simulation step: the resolution of the times.
const STEP_MS: u64 = 10;
/// Milliseconds after which a test stops waiting for the remaining boxes.
const GIVE_UP_MS: u64 = 4_000;
/// Milliseconds within which all boxes of an idle fleet hold a version that is passed on packed.
const PACKED_MS: u64 = 330;
/// Milliseconds within which all boxes hold a version without faults.
const PROMPT_MS: u64 = 1_000;
/// Milliseconds within which all boxes hold a version if all links are narrow or something fails.
const LATE_MS: u64 = 2_500;

/// An idle fleet that holds version 1. The first `wide` boxes, which are spread evenly over the
/// data halls, have links of 200 Mbit/s, and all others of 10 Mbit/s.
fn fleet(wide: usize) -> Followers {
  let mut fleet = Followers::new();
  fleet.source = Arc::new(CachedSource::new(OperatorSource));
  fleet.lines.common_mbps = 10;
  for index in 0..wide {
    fleet.lines.set(Followers::box_id(index), 200);
  }
  fleet.write_text(operator_routes::configuration_text(1, FEW));
  for index in 0..BOXES {
    fleet.start(index, 1_000);
  }
  fleet.run(6_000);
  let behind = fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(1));
  assert!(behind.is_empty(), "{behind:?} do not hold the first version");
  fleet
}

/// Runs the fleet until all of `boxes` hold `version`, or for [`GIVE_UP_MS`]. Returns the time at
/// which each box first held it.
fn arrivals(fleet: &mut Followers, boxes: &BTreeSet<usize>, version: u64) -> BTreeMap<usize, u64> {
  let (mut held_at, until) = (BTreeMap::new(), fleet.now + GIVE_UP_MS);
  loop {
    for index in boxes {
      if fleet.version(*index) >= Some(version) {
        held_at.entry(*index).or_insert(fleet.now);
      }
    }
    if held_at.len() == boxes.len() || fleet.now >= until {
      return held_at;
    }
    fleet.run(STEP_MS);
  }
}

/// Asserts that all of `boxes` hold `version` within `within_ms` after `since_ms`. Lists the late
/// ones.
fn assert_in_time(
  fleet: &mut Followers,
  boxes: &BTreeSet<usize>,
  version: u64,
  since_ms: u64,
  within_ms: u64,
) {
  let held_at = arrivals(fleet, boxes, version);
  let took_ms = |index: &usize| held_at.get(index).map(|at| at - since_ms);
  let late: Vec<(usize, Option<u64>)> = boxes
    .iter()
    .map(|index| (*index, took_ms(index)))
    .filter(|(_, ms)| ms.is_none_or(|ms| ms > within_ms))
    .collect();
  let logged = fleet.logged.join("\n");
  assert!(
    late.is_empty(),
    "late for version {version}, by box, after ms (none: not at all): {late:?}\n{logged}"
  );
}

fn all() -> BTreeSet<usize> {
  (0..BOXES).collect()
}

/// Without compression, the updates take half a second.
#[test]
fn a_large_change_is_in_force_within_a_third_of_a_second() {
  let mut fleet = fleet(WIDE);
  fleet.write_text(operator_routes::configuration_text(2, MANY));
  let written_at = fleet.now;
  assert_in_time(&mut fleet, &all(), 2, written_at, PACKED_MS);
}

/// Boxes that start together all act as watchers at first. The watches that they began then must
/// not bring each of them the whole configuration later.
#[test]
fn a_large_change_soon_after_the_start_is_read_by_the_watchers_only() {
  let mut fleet = fleet(WIDE);
  fleet.write_text(operator_routes::configuration_text(2, MANY));
  fleet.run(LATE_MS);
  let read = fleet.watched_configurations;
  assert!(read <= WIDE, "{read} whole configurations for {WIDE} watchers");
}

#[test]
fn a_large_change_is_in_force_in_time_where_all_links_are_narrow() {
  let mut fleet = fleet(0);
  fleet.write_text(operator_routes::configuration_text(2, MANY));
  let written_at = fleet.now;
  assert_in_time(&mut fleet, &all(), 2, written_at, LATE_MS);
}

#[test]
fn the_second_of_two_large_changes_in_quick_succession_is_in_force_in_time() {
  let mut fleet = fleet(WIDE);
  fleet.write_text(operator_routes::configuration_text(2, MANY));
  fleet.run(300);
  fleet.write_text(operator_routes::configuration_text(3, FEW));
  let written_at = fleet.now;
  assert_in_time(&mut fleet, &all(), 3, written_at, LATE_MS);
}

#[test]
fn a_large_change_is_in_force_in_time_where_a_watcher_dies_while_it_sends_it() {
  const WATCHER: usize = 0;
  let mut fleet = fleet(WIDE);
  fleet.write_text(operator_routes::configuration_text(2, MANY));
  let written_at = fleet.now;
  let others: BTreeSet<usize> = all().into_iter().filter(|index| *index != WATCHER).collect();
  arrivals(&mut fleet, &BTreeSet::from([WATCHER]), 2);
  assert_eq!(fleet.version(WATCHER), Some(2));
  fleet.run(STEP_MS);
  let lacking = fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2));
  assert!(!lacking.is_empty(), "the watcher sent everything before it died");
  fleet.stop(WATCHER);
  assert_in_time(&mut fleet, &others, 2, written_at, LATE_MS);
}

#[test]
fn boxes_that_start_amid_a_large_change_hold_it_in_time_and_delay_nobody() {
  const NEW: usize = 10;
  let mut fleet = fleet(WIDE);
  fleet.write_text(operator_routes::configuration_text(2, MANY));
  let written_at = fleet.now;
  fleet.run(50);
  let started_at = fleet.now;
  let new: BTreeSet<usize> = (BOXES..BOXES + NEW).collect();
  for index in &new {
    fleet.start(*index, 9_000);
  }
  assert_in_time(&mut fleet, &all(), 2, written_at, PROMPT_MS);
  assert_in_time(&mut fleet, &new, 2, started_at, LATE_MS);
}

/// The rejected boxes include a watcher of each data hall.
#[test]
fn a_large_change_is_in_force_in_time_where_the_store_turns_a_third_away() {
  let mut fleet = fleet(WIDE);
  let turned_away = (0..BOXES).filter(|index| index / 3 % 3 == 0);
  fleet.rejected_boxes.extend(turned_away.map(Followers::box_id));
  fleet.run(50);
  fleet.write_text(operator_routes::configuration_text(2, MANY));
  let written_at = fleet.now;
  assert_in_time(&mut fleet, &all(), 2, written_at, LATE_MS);
}

#[test]
fn a_box_that_starts_anew_in_an_outage_gets_a_large_configuration_from_its_neighbours() {
  let mut fleet = fleet(WIDE);
  fleet.rejected_boxes.extend((0..BOXES).map(Followers::box_id));
  fleet.run(3_000);
  for index in [0, 20] {
    fleet.stop(index);
    fleet.run(700);
    fleet.start(index, 9_000);
    let started_at = fleet.now;
    assert_in_time(&mut fleet, &BTreeSet::from([index]), 1, started_at, LATE_MS);
  }
}
