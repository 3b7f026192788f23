//! A store that is restored from a copy some seconds old, on real processes.
//!
//! Guards against directory entries that stay missing after the restore: other boxes take a box without an entry for
//! gone. When five boxes joined after the copy was made, some of their entries were missing for more than twenty
//! seconds after the restore. Their leases were lost with the entries, and the store assigned the lease ids again, so a
//! renewal succeeded on another box's lease. Daemons didn't notice the restore, although each answer of the store names
//! its era.

mod support;

use {
  ferryyoke_soak::platform,
  std::time::{Duration, Instant},
  support::{Answer, Fleet, LOOK_MS, run, soon},
};

/// Number of boxes that run before the copy is made, and in total.
const BOXES: (usize, usize) = (7, 12);

/// Milliseconds after the restore within which every entry must exist again.
const ENTRIES_MS: u64 = 2_000;

/// Milliseconds after its acceptance within which a version must be in force.
const APPLY_MS: u64 = 2_000;

/// Tolerance in milliseconds for scheduling delays of the machine.
const SLACK_MS: u64 = 300;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

fn holds_all(fleet: &Fleet) -> bool {
  (0..BOXES.1).all(|index| fleet.store.holds(&platform::entry_key(index)))
}

/// Starts a fleet that serves. After the store's copy is made, some boxes join and a version is accepted.
async fn fleet() -> Fleet {
  let fleet = Fleet::prepare(BOXES.1);
  fleet.write(1, 0, "safe");
  (0..BOXES.0).for_each(|index| fleet.start(index));
  for index in 0..BOXES.0 {
    fleet.ask_until(index, "/read/", soon(MAX_WAIT_MS), Answer::is_served).await;
  }
  fleet.store.keep_copy();
  (BOXES.0..BOXES.1).for_each(|index| fleet.start(index));
  fleet.write(4, 1, "safe");
  for index in 0..BOXES.1 {
    fleet.ask_until(index, "/added-1/", soon(MAX_WAIT_MS), Answer::is_served).await;
  }
  let until = soon(MAX_WAIT_MS);
  while !holds_all(&fleet) {
    assert!(Instant::now() < until, "some boxes wrote no entry");
    pause(LOOK_MS).await;
  }
  fleet
}

async fn pause(ms: u64) {
  monoio::time::sleep(Duration::from_millis(ms)).await;
}

#[test]
fn entries_are_restored_and_versions_do_not_go_back() {
  run(async {
    let fleet = fleet().await;
    for (round, away_ms) in [300, 2_000].into_iter().enumerate() {
      fleet.store.go_back(None, away_ms).await;
      let returned_at = Instant::now();
      let mut all_at = None;
      while returned_at.elapsed() < Duration::from_millis(4 * ENTRIES_MS) {
        if all_at.is_none() && holds_all(&fleet) {
          all_at = Some(returned_at.elapsed());
        }
        pause(LOOK_MS).await;
      }
      println!("away for {away_ms} ms, all entries after {all_at:?}");
      // No box is taken for gone, and the version that the copy lacks stays in force.
      for index in 0..BOXES.1 {
        fleet.ask_once(index, "/added-1/", Answer::is_served).await;
      }
      let all_at = all_at.expect("some entries stay missing");
      assert!(all_at <= Duration::from_millis(ENTRIES_MS + SLACK_MS), "{all_at:?}");
      // The operators' next version is in force in time, although the store assigned its revision before.
      let added = 2 + round;
      fleet.write(1 + 3 * added as u64, added, "safe");
      let until = soon(APPLY_MS + SLACK_MS);
      for index in 0..BOXES.1 {
        fleet.ask_until(index, &format!("/added-{added}/"), until, Answer::is_served).await;
      }
    }
  });
}
