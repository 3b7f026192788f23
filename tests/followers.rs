//! Daemons that follow the platform's store: what they hold while the store fails some or all of
//! them.

mod support;

use {
  ferryyoke::{
    fleet::EndpointState,
    values::{BoxId, Version},
  },
  std::collections::BTreeSet,
  support::followers::Followers,
};

const BOXES: usize = 9;

/// Time, in milliseconds, within which every box reads the directory once.
const DIRECTORY_MS: u64 = 3_000;

const NOBODY: [usize; 0] = [];

/// Returns an idle fleet that holds version 1.
fn fleet() -> Followers {
  fleet_on_links(10)
}

/// Returns an idle fleet whose links have the given capacity in Mbit/s.
fn fleet_on_links(link_mbps: u32) -> Followers {
  let mut fleet = Followers::new();
  fleet.link_mbps = link_mbps;
  fleet.write_version(1);
  for index in 0..BOXES {
    fleet.start(index, 1_000);
  }
  fleet.run(2_000);
  assert_eq!(all_live(&fleet), NOBODY);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(1)), NOBODY);
  fleet
}

/// Returns the boxes that do not consider every other box live.
fn all_live(fleet: &Followers) -> Vec<usize> {
  fleet.boxes_failing(BOXES, |fleet, from| (0..BOXES).all(|to| fleet.sees_live(from, to)))
}

#[test]
fn a_change_reaches_every_box_and_costs_a_call_each() {
  let mut fleet = fleet();
  fleet.run(3_000);
  let before = fleet.store_tenths;
  for version in 2..=6 {
    fleet.write_version(version);
    fleet.run(20);
  }
  fleet.run(400);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(6)), NOBODY);
  let calls = (fleet.store_tenths - before) / 10;
  assert!(calls <= 4 * BOXES as u64, "{calls} calls for five changes in quick succession");
}

/// A configuration is large and the box's link may be narrow, so none should be read twice.
#[test]
fn a_new_watcher_does_not_read_configurations_again() {
  let mut fleet = fleet();
  for version in 2..=21 {
    fleet.write_version(version);
    fleet.run(500);
  }
  fleet.run(2_000);
  let before = fleet.watched_configurations;
  for index in 0..6 {
    fleet.change_state(index, EndpointState::Leaving);
  }
  fleet.run(3_000);
  fleet.write_version(22);
  fleet.run(500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(22)), NOBODY);
  let read = fleet.watched_configurations - before;
  assert!(read <= BOXES, "{read} configurations were read for one change");
}

#[test]
fn boxes_that_the_store_rejects_get_changes_from_neighbours() {
  let mut fleet = fleet();
  fleet.rejected_boxes.extend((0..3).map(Followers::box_id));
  fleet.run(1_500);
  fleet.write_version(2);
  fleet.change_state(5, EndpointState::Draining);
  fleet.run(1_500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2)), NOBODY);
  fleet.run(DIRECTORY_MS);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| !fleet.sees_live(index, 5)), NOBODY);
}

#[test]
fn neighbours_keep_the_entry_of_a_live_box_that_the_store_rejects() {
  let mut fleet = fleet();
  fleet.rejected_boxes.insert(Followers::box_id(0));
  fleet.run(15_000);
  assert_eq!(all_live(&fleet), NOBODY, "its own lease expired long ago");
  fleet.rejected_boxes.clear();
  fleet.run(4_000);
  assert_eq!(all_live(&fleet), NOBODY);
}

#[test]
fn a_dead_box_is_lost_soon_after_its_lease_expires() {
  let mut fleet = fleet();
  fleet.stop(4);
  fleet.run(4_000 + 2_500 + 2 * DIRECTORY_MS);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| !fleet.sees_live(index, 4)), NOBODY);
}

#[test]
fn entries_that_lapsed_in_an_outage_are_back_within_two_seconds() {
  let mut fleet = fleet();
  fleet.rejected_boxes.extend((0..BOXES).map(Followers::box_id));
  fleet.lapse_leases();
  fleet.run(7_000);
  assert_eq!(all_live(&fleet), NOBODY, "an outage of the store must not make boxes lost");
  fleet.rejected_boxes.clear();
  for _ in 0..20 {
    fleet.run(200);
    assert_eq!(all_live(&fleet), NOBODY, "at {}", fleet.now);
  }
}

#[test]
fn a_restarted_box_is_known_again_though_its_clock_went_back() {
  let mut fleet = fleet();
  fleet.stop(3);
  fleet.run(500);
  fleet.start(3, 10);
  fleet.run(DIRECTORY_MS);
  assert_eq!(all_live(&fleet), NOBODY);
  fleet.change_state(3, EndpointState::Draining);
  fleet.run(DIRECTORY_MS);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| !fleet.sees_live(index, 3)), NOBODY);
}

#[test]
fn a_fleet_that_restarts_at_once_recovers() {
  let mut fleet = fleet();
  for index in 0..BOXES {
    fleet.stop(index);
  }
  fleet.write_version(9);
  fleet.run(1_000);
  for index in 0..BOXES {
    fleet.start(index, 5_000);
  }
  fleet.run(1_000);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(9)), NOBODY);
  assert_eq!(all_live(&fleet), NOBODY);
}

#[test]
fn a_paused_box_reads_the_store_again() {
  let mut fleet = fleet();
  fleet.paused.insert(Followers::box_id(2));
  fleet.run(6_000);
  fleet.write_version(2);
  fleet.paused.clear();
  fleet.run(1_500);
  assert_eq!(fleet.version(2), Some(2));
  fleet.run(4_000);
  assert_eq!(all_live(&fleet), NOBODY);
}

#[test]
fn an_idle_box_costs_the_store_a_call_in_five_seconds() {
  let mut fleet = fleet();
  fleet.run(5_000);
  let before = fleet.store_tenths;
  fleet.run(30_000);
  let calls = (fleet.store_tenths - before) / 10;
  // Six of nine boxes are watchers, which renew their leases every second at a tenth of a call.
  assert!(calls <= 7 * BOXES as u64, "{calls} calls in 30 s");
}

/// Whichever two boxes fail, the others hold a change within the time that the platform allows.
#[test]
fn a_change_is_in_force_in_time_whichever_two_boxes_are_paused() {
  for first in 0..BOXES {
    for second in 0..first {
      let mut fleet = fleet();
      fleet.run(2_000);
      fleet.paused.extend([first, second].map(Followers::box_id));
      fleet.run(50);
      fleet.write_version(2);
      fleet.run(2_400);
      let late = fleet.boxes_failing(BOXES, |fleet, index| {
        [first, second].contains(&index) || fleet.version(index) == Some(2)
      });
      assert_eq!(late, NOBODY, "boxes {first} and {second} are paused");
    }
  }
}

#[test]
fn a_change_is_in_force_in_time_whichever_two_boxes_the_store_rejects() {
  for first in 0..BOXES {
    for second in 0..first {
      let mut fleet = fleet();
      fleet.run(2_000);
      fleet.rejected_boxes.extend([first, second].map(Followers::box_id));
      fleet.run(50);
      fleet.write_version(2);
      fleet.run(2_400);
      let late = fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2));
      let logged = fleet.logged.join("\n");
      assert_eq!(late, NOBODY, "boxes {first} and {second} are rejected\n{logged}");
    }
  }
}

#[test]
fn changes_in_quick_succession_are_sent_as_patches_and_lead_to_the_same_version() {
  let mut fleet = fleet();
  fleet.run(2_000);
  for version in 2..40 {
    fleet.write_version(version * 3);
    fleet.run(130);
  }
  fleet.run(2_000);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(117)), NOBODY);
}

/// A change of many objects would saturate narrow links of the watchers: the other boxes read the
/// store.
#[test]
fn a_large_change_is_not_sent_on_narrow_links() {
  let mut fleet = fleet_on_links(1);
  fleet.run(2_000);
  fleet.write_services(2, 3);
  fleet.run(1_500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2)), NOBODY);
  let small = fleet.pushed_objects;
  assert!(small > 0, "a small change is sent on links");
  fleet.write_services(3, 3_000);
  fleet.run(1_500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(3)), NOBODY);
  assert_eq!(fleet.pushed_objects, small, "a large one does not");
}

/// The same change is small on a wider link, and then only the watchers read the store.
#[test]
fn a_large_change_that_fits_the_links_is_read_by_the_watchers_only() {
  let mut fleet = fleet();
  fleet.run(2_000);
  let before = fleet.store_tenths;
  fleet.write_services(2, 3_000);
  fleet.run(700);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2)), NOBODY);
  assert!(fleet.pushed_objects >= 3_000 * (BOXES - 6), "{} objects", fleet.pushed_objects);
  // Six watchers begin a new watch, and renew their leases at a tenth of a call.
  let calls = (fleet.store_tenths - before) / 10;
  assert!(calls <= 8, "{calls} calls");
}

/// Until a box holds a version that was announced to it, it does not know which routes exist.
#[test]
fn a_box_reports_that_it_is_behind_before_it_holds_a_large_change() {
  let mut fleet = fleet_on_links(1);
  fleet.run(2_000);
  assert_eq!(fleet.behind, [], "no box missed the first version");
  fleet.write_services(2, 3_000);
  fleet.run(1_500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2)), NOBODY);
  let behind: BTreeSet<&BoxId> = fleet.behind.iter().map(|(box_id, _)| box_id).collect();
  // Two boxes of each data hall watch the store, and send changes to the others.
  assert_eq!(behind.len(), BOXES - 6, "{:?}", fleet.behind);
  assert!(fleet.behind.iter().all(|(_, version)| *version == Version(2)), "{:?}", fleet.behind);
}

/// A box that restarts while the store serves no box knows no other box.
#[test]
fn neighbours_reconnect_to_a_box_that_restarts_in_an_outage() {
  for index in 0..BOXES {
    let mut fleet = fleet();
    fleet.run(3_000);
    fleet.rejected_boxes.extend((0..BOXES).map(Followers::box_id));
    fleet.run(3_000);
    fleet.stop(index);
    fleet.run(700);
    fleet.start(index, 2_000);
    fleet.run(2_500);
    assert_eq!(fleet.version(index), Some(1), "box {index}: {:#?}", fleet.logged);
    let unseen: Vec<usize> =
      (0..BOXES).filter(|to| *to != index && !fleet.sees_live(index, *to)).collect();
    assert_eq!(unseen, NOBODY, "as box {index} sees it");
  }
}

#[test]
fn a_refused_configuration_is_reported_and_the_one_in_force_stays() {
  let mut fleet = fleet();
  fleet.write_text("not a configuration".into());
  fleet.run(1_000);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(1)), NOBODY);
  let refused_by = |fleet: &Followers, index: usize| {
    fleet.refused.iter().any(|(box_id, _)| *box_id == Followers::box_id(index))
  };
  assert!((0..BOXES).any(|index| refused_by(&fleet, index)), "{:?}", fleet.refused);
  fleet.write_version(2);
  fleet.run(1_000);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(2)), NOBODY);
}

/// Only watchers read the store; the others must learn of a version that the watchers could not
/// read.
#[test]
fn every_box_learns_of_a_refused_version() {
  let mut fleet = fleet();
  fleet.run(3_000);
  fleet.write_text("unreadable 2".into());
  fleet.run(1_000);
  let knows = |fleet: &Followers, index: usize| {
    let refusal = (Followers::box_id(index), Version(2));
    fleet.behind.contains(&refusal)
  };
  assert_eq!(fleet.boxes_failing(BOXES, knows), NOBODY, "{:?}", fleet.behind);
  let (refused, reads) = (fleet.refused.len(), fleet.store_tenths);
  assert_eq!(refused, BOXES, "each box refuses it once: {:?}", fleet.refused);
  fleet.stop(4);
  fleet.run(500);
  fleet.start(4, 9_000);
  fleet.behind.clear();
  fleet.run(3_000);
  assert!(knows(&fleet, 4), "{:?}", fleet.behind);
  assert_eq!(fleet.version(4), Some(1), "from its neighbours");
  fleet.run(5_000);
  assert!(fleet.refused.len() <= refused + 1, "read again and again: {:?}", fleet.refused);
  let calls = (fleet.store_tenths - reads) / 10;
  assert!(calls <= 4 * BOXES as u64, "{calls} calls");
  fleet.write_version(3);
  fleet.run(1_500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(3)), NOBODY);
}

/// A version stays refused until it, or a later one, is held; meanwhile the refusal is logged.
#[test]
fn a_starting_box_logs_a_refused_version_like_the_others() {
  let mut fleet = fleet();
  fleet.write_text("not a configuration".into());
  fleet.run(1_000);
  fleet.stop(4);
  fleet.run(500);
  fleet.start(4, 9_000);
  fleet.run(3_000);
  assert_eq!(fleet.version(4), Some(1), "from its neighbours");
  fleet.logged.clear();
  fleet.run(11_000);
  let is_refusal = |text: &&String| text.contains("box-4: the store's configuration is refused");
  assert_eq!(fleet.logged.iter().filter(is_refusal).count(), 2, "{:#?}", fleet.logged);
  fleet.write_version(3);
  fleet.run(1_500);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(3)), NOBODY);
  fleet.logged.clear();
  fleet.run(11_000);
  let is_refusal = |text: &&String| text.contains("the store's configuration is refused");
  assert_eq!(fleet.logged.iter().filter(is_refusal).count(), 0, "{:#?}", fleet.logged);
}

/// A stale read would lead to the same changes again, and a back-off would only add to them.
#[test]
fn changes_that_are_too_many_for_a_watch_lead_to_a_read_of_the_newest() {
  let mut fleet = fleet();
  fleet.watch_events_max = 1;
  fleet.logged.clear();
  for version in 2..=4 {
    fleet.write_version(version);
  }
  fleet.run(400);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(4)), NOBODY);
  assert!(fleet.linearizable_reads > 0, "no box read the newest");
  let is_failure = |line: &&String| line.contains("does not serve");
  assert_eq!(fleet.logged.iter().find(is_failure), None);
}

#[test]
fn a_box_logs_why_the_store_does_not_serve_it() {
  let mut fleet = fleet();
  fleet.rejected_boxes.extend((0..BOXES).map(Followers::box_id));
  fleet.run(1_000);
  let failures = || fleet.logged.iter().filter(|line| line.contains("does not serve this box"));
  assert!(failures().count() > 0);
  for line in failures() {
    // The test's store cuts watches and rejects other calls.
    let is_told = if line.contains(", asked for changes: ") {
      line.contains("(cut)")
    } else {
      line.contains(", asked for ") && line.contains(": too many calls")
    };
    assert!(is_told, "{line}");
  }
}

/// Versions only increase, in whatever order they arrive.
#[test]
fn no_box_returns_to_an_older_version() {
  let mut fleet = fleet();
  fleet.write_version(7);
  fleet.run(1_000);
  fleet.write_version(3);
  fleet.run(1_000);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(7)), NOBODY);
}

/// After a brief failure of the store for all boxes, no box may rely on neighbours that are as out
/// of date as itself.
#[test]
fn a_change_is_in_force_in_time_after_the_store_failed_everybody_for_a_moment() {
  const MANY: usize = 24;
  for pause_ms in (0..6_000).step_by(250) {
    let mut fleet = Followers::new();
    fleet.write_version(1);
    for index in 0..MANY {
      fleet.start(index, 1_000);
    }
    fleet.run(4_000);
    fleet.rejected_boxes.extend((0..MANY).map(Followers::box_id));
    fleet.run(400);
    fleet.rejected_boxes.clear();
    fleet.run(3_000 + pause_ms);
    fleet.write_version(2);
    fleet.run(2_000);
    let late = fleet.boxes_failing(MANY, |fleet, index| fleet.version(index) == Some(2));
    assert_eq!(late, NOBODY, "{pause_ms} ms later");
  }
}
