//! Cheap reads of the store whose answers may be some seconds old.
//!
//! After a change was accepted, whole fleets went on refusing requests on the route that it had
//! added, without knowing of a newer version. Boxes that start read the configuration with a call
//! whose answer may be stale but names the store's current revision. The watch resumed from that
//! revision, past a change that the stale answer did not show. A store whose stale answers name the
//! revision at which they were current does not reproduce the fault.

mod support;

use support::followers::Followers;

const BOXES: usize = 13;

/// Time, in milliseconds, that operators allow until a change is in force.
const APPLY_MS: u64 = 2_000;

/// Time, in milliseconds, after a box's start during which nothing is guaranteed.
const CONTACT_MS: u64 = 3_000;

const NOBODY: [usize; 0] = [];

/// Restarts boxes right after a change that reads do not show yet.
fn restart_after_change(fleet: &mut Followers, boxes: impl Iterator<Item = usize>) {
  fleet.begin_stale_reads();
  fleet.write_version(2);
  let clock_ms = fleet.now + 1;
  boxes.for_each(|index| fleet.start(index, clock_ms));
}

#[test]
fn a_fleet_that_restarts_right_after_a_change_has_it_in_time() {
  for forgets in [false, true] {
    let mut fleet = Followers::at_rest(BOXES);
    restart_after_change(&mut fleet, 0..BOXES);
    if forgets {
      fleet.forget_history();
    }
    fleet.run(CONTACT_MS + APPLY_MS);
    assert_eq!(fleet.boxes_without_version(BOXES, 2), NOBODY, "{:#?}", fleet.logged);
    fleet.end_stale_reads();
    fleet.write_version(3);
    fleet.run(APPLY_MS);
    assert_eq!(fleet.boxes_without_version(BOXES, 3), NOBODY, "{:#?}", fleet.logged);
  }
}

/// Watchers pass on the revision up to which they know all changes, so a wrong one misleads others.
#[test]
fn a_box_that_restarts_right_after_a_change_delays_no_other_box() {
  for index in 0..BOXES {
    let mut fleet = Followers::at_rest(BOXES);
    restart_after_change(&mut fleet, [index].into_iter());
    fleet.run(CONTACT_MS + APPLY_MS);
    assert_eq!(fleet.boxes_without_version(BOXES, 2), NOBODY, "box {index}: {:#?}", fleet.logged);
  }
}
