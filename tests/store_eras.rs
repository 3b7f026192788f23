//! A store that is restored from a backup some seconds old, in virtual time, with fleets of any
//! size.
//!
//! On ten real daemons, entries of boxes that had joined since the backup stayed missing for more
//! than twenty seconds, because renewals kept alive the leases of other boxes that had received the
//! same numbers. The soak's tests run the same on real processes.

mod support;

use support::followers::Followers;

/// Time, in milliseconds, after the restore within which every entry exists again.
const ENTRIES_MS: u64 = 2_000;

/// Time, in milliseconds, after its acceptance within which a version is in force.
const APPLY_MS: u64 = 2_000;

/// Calls a second that the store accepts for each box of a fleet of 195: the fleets' stores have
/// such rate limits.
const CALLS_PER_BOX: u64 = 16;

/// Returns an idle fleet, a third of whose boxes joined after the backup, with a version that the
/// backup lacks.
fn fleet(boxes: usize) -> Followers {
  let before = boxes - boxes / 3;
  let mut fleet = Followers::at_rest(before);
  fleet.back_up();
  (before..boxes).for_each(|index| fleet.start(index, 9_000));
  fleet.write_version(2);
  fleet.run(6_000);
  assert!(
    fleet.boxes_without_version(boxes, 2).is_empty(),
    "{:?}",
    fleet.boxes_without_version(boxes, 2)
  );
  assert!(missing(&mut fleet, boxes).is_empty());
  fleet
}

/// Returns the boxes whose entry the store lacks.
fn missing(fleet: &mut Followers, boxes: usize) -> Vec<usize> {
  (0..boxes).filter(|index| fleet.box_entry(*index).is_none()).collect()
}

/// Returns the boxes that at least one of three sampled boxes does not consider live.
fn not_live(fleet: &Followers, boxes: usize) -> Vec<usize> {
  let asked = [0, boxes / 2, boxes - 1];
  (0..boxes).filter(|to| !asked.iter().all(|from| fleet.sees_live(*from, *to))).collect()
}

/// Runs the fleet until all entries exist. Returns the duration in milliseconds.
fn run_until_entries_are_back(fleet: &mut Followers, boxes: usize) -> u64 {
  let began = fleet.now;
  while !missing(fleet, boxes).is_empty() {
    fleet.run(50);
    let waited_ms = fleet.now - began;
    assert!(waited_ms <= ENTRIES_MS, "entries are still missing: {:?}", missing(fleet, boxes));
  }
  fleet.now - began
}

/// Runs two restores in a row, each followed by a version whose revision had been issued before.
fn check_restores(boxes: usize) {
  let mut fleet = fleet(boxes);
  for round in 0..2 {
    fleet.restore_backup();
    let (before, began) = (fleet.store_tenths, fleet.now);
    let back_ms = run_until_entries_are_back(&mut fleet, boxes);
    fleet.run(ENTRIES_MS - back_ms);
    let calls = (fleet.store_tenths - before) / 10;
    assert!(calls <= CALLS_PER_BOX * boxes as u64, "{calls} calls in the first two seconds");
    // A box that reads the directory meanwhile declares no box lost, and no version goes back.
    fleet.run(6_000);
    assert!(not_live(&fleet, boxes).is_empty(), "{:?}", not_live(&fleet, boxes));
    let newest = 2 + round;
    assert!(fleet.boxes_without_version(boxes, newest).is_empty(), "a version went back");
    fleet.write_version(newest + 1);
    let accepted = fleet.now;
    while !fleet.boxes_without_version(boxes, newest + 1).is_empty() {
      fleet.run(20);
      assert!(
        fleet.now - accepted <= APPLY_MS,
        "{:?}",
        fleet.boxes_without_version(boxes, newest + 1)
      );
    }
    let applied_ms = fleet.now - accepted;
    println!(
      "{boxes} boxes, restore {round} at {began}: entries back after {back_ms} ms, {calls} calls in two seconds, \
       the next version in force after {applied_ms} ms"
    );
  }
}

#[test]
fn ten_boxes_recover_in_time() {
  check_restores(10);
}

#[test]
fn sixty_one_boxes_recover_in_time() {
  check_restores(61);
}

/// Every box of a large fleet writes a lease and an entry.
#[test]
fn a_large_fleet_recovers_in_time() {
  check_restores(195);
}

/// A box that the store does not serve learns of the restore from its neighbours, which keep its
/// entry.
#[test]
fn a_box_that_cannot_reach_the_store_stays_live() {
  const BOXES: usize = 10;
  let mut fleet = fleet(BOXES);
  fleet.rejected_boxes.insert(Followers::box_id(BOXES - 1));
  fleet.run(4_000);
  fleet.restore_backup();
  fleet.run(8_000);
  assert!(not_live(&fleet, BOXES).is_empty(), "{:?}", not_live(&fleet, BOXES));
  fleet.write_version(3);
  fleet.run(APPLY_MS);
  assert!(
    fleet.boxes_without_version(BOXES, 3).is_empty(),
    "{:?}",
    fleet.boxes_without_version(BOXES, 3)
  );
}

/// The last state of a leaving box is restored, and the box does not become live again.
#[test]
fn a_box_that_leaves_stays_leaving() {
  const BOXES: usize = 10;
  let mut fleet = fleet(BOXES);
  fleet.change_state(3, ferryyoke::fleet::EndpointState::Leaving);
  fleet.run(1_000);
  fleet.restore_backup();
  for _ in 0..100 {
    fleet.run(50);
    let live = (0..BOXES).filter(|from| fleet.sees_live(*from, 3)).collect::<Vec<_>>();
    assert!(live.is_empty(), "{live:?}");
  }
  let entry = fleet.box_entry(3).expect("its entry");
  assert!(entry.text().is_ok_and(|text| text.contains("leaving")), "{entry:?}");
}
