//! Calls of a large fleet to the store. They are counted and billed, and their rate must grow more
//! slowly than the fleet.
//!
//! A fleet of 195 boxes made 1,646 calls on a calm day of 50 s, 900 of them in its first five
//! seconds: each box wrote its entry twice, watched the store until it had found neighbours, and
//! read the whole directory four times. In an outage of 8 s each box began a watch a second: 5,196
//! calls on such a day. Calls are counted as the platform counts them: a renewal and a stale read
//! are a tenth of a call.

mod support;

use {ferryyoke::fleet::EndpointState, support::followers::Followers};

/// Boxes of the fleet, in three data halls.
const BOXES: usize = 60;

/// Time, in milliseconds, until the last backend server of a starting fleet is up.
const BACKENDS_UP_MS: u64 = 3_500;

const NOBODY: [usize; 0] = [];

/// Returns the number of calls per box while `act` runs.
#[allow(clippy::cast_precision_loss)]
fn calls_a_box(fleet: &mut Followers, act: impl FnOnce(&mut Followers)) -> f64 {
  let before = fleet.store_tenths;
  act(fleet);
  (fleet.store_tenths - before) as f64 / 10.0 / BOXES as f64
}

/// Starts a fleet whose backend servers come up one after the other, and whose first configuration
/// comes after a second.
fn start(fleet: &mut Followers) {
  for index in 0..BOXES {
    fleet.start_with_state(index, 1_000, EndpointState::Draining);
  }
  fleet.run(1_000);
  fleet.write_version(1);
  for index in 0..BOXES {
    fleet.run((BACKENDS_UP_MS - 1_500) / BOXES as u64 / 10 * 10);
    fleet.change_state(index, EndpointState::Live);
  }
  fleet.run(6_000);
}

fn fleet() -> Followers {
  let mut fleet = Followers::new();
  start(&mut fleet);
  let lacks = fleet.boxes_failing(BOXES, |fleet, from| {
    fleet.version(from) == Some(1) && (0..BOXES).all(|to| fleet.sees_live(from, to))
  });
  assert_eq!(lacks, NOBODY, "{:#?}", fleet.logged);
  fleet
}

/// A lease, an entry and some stale reads for each box, and the watches of a few boxes.
#[test]
fn a_fleet_that_starts_as_a_whole_costs_four_calls_a_box() {
  let mut fleet = Followers::new();
  let calls = calls_a_box(&mut fleet, start);
  assert!(calls <= 4.0, "{calls} calls a box");
}

#[test]
fn an_idle_box_costs_its_lease_and_the_fleet_two_calls_a_second() {
  let mut fleet = fleet();
  let calls = calls_a_box(&mut fleet, |fleet| fleet.run(60_000));
  // Leases of 4 s are renewed after 1.6 s, at a tenth of a call; all other calls are 100 for the
  // whole fleet.
  let leases = 60.0 / 1.6 / 10.0;
  assert!(calls <= leases + 100.0 / 60.0, "{calls} calls a box, {leases} of them for its lease");
}

/// The cheapest call detects the end of an outage; all others would be in vain.
#[test]
fn an_outage_costs_a_fifth_of_a_call_a_box_and_second() {
  let mut fleet = fleet();
  fleet.rejected_boxes.extend((0..BOXES).map(Followers::box_id));
  let calls = calls_a_box(&mut fleet, |fleet| fleet.run(8_000));
  assert!(calls <= 1.6, "{calls} calls a box in 8 s");
  fleet.rejected_boxes.clear();
  let calls = calls_a_box(&mut fleet, |fleet| fleet.run(3_000));
  // Leases of 4 s expired meanwhile: each box needs a new one and an entry.
  assert!(calls <= 3.5, "{calls} calls a box after it");
  fleet.write_version(2);
  fleet.run(1_500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2)), NOBODY);
}

/// A box that finds an entry missing notifies the others; they need not read the directory
/// themselves.
#[test]
fn a_dead_box_is_lost_as_soon_as_its_lease_allows() {
  let mut fleet = fleet();
  fleet.stop(7);
  // Its lease of 4 s, the slot of a watcher, the time for a lapsed entry to be rewritten, and a
  // margin.
  fleet.run(4_000 + 2_000 + 2_500 + 500);
  let seen = fleet.boxes_failing(BOXES, |fleet, index| !fleet.sees_live(index, 7));
  assert_eq!(seen, NOBODY);
}
