//! A box that restarts without memory, or a store that is restored to an older state, must not move
//! any box back to an older version.

mod support;

use {
  ferryyoke::{
    distribution::keys,
    store::{Reply, StoreRequest},
    values::{Time, Version},
  },
  support::world::{World, put_policy, put_route, put_service},
};

/// Virtual milliseconds within which a small fleet settles.
const SETTLE_MS: u64 = 20_000;

fn version_of(world: &World, index: usize) -> Option<Version> {
  world.boxes[index].distributor.as_ref()?.catalog().version()
}

/// Returns a converged fleet of one data hall that holds version 1.
fn settled(boxes: usize) -> World {
  let mut world = World::new(boxes, 1, 3);
  world.run_until(SETTLE_MS / 2);
  world.submit_change(0, vec![put_policy(), put_service(0)]);
  world.run_until(SETTLE_MS);
  world.check_converged();
  assert_eq!(version_of(&world, 0), Some(Version(1)));
  world
}

/// Boxes 3 and 4 missed version 2. Box 2 held it, restarts without memory, and reaches only those
/// two and not the store. It must not go back to version 1.
#[test]
fn a_restarted_box_among_stale_ones_waits_for_a_newer_source() {
  let mut world = settled(5);
  for one in [0, 1, 2] {
    world.faults.blocked.extend([(one, 3), (one, 4)]);
  }
  world.faults.store_cut = vec![3, 4];
  world.submit_change(0, vec![put_route(0, 0)]);
  world.run_until(world.now + SETTLE_MS);
  assert_eq!(version_of(&world, 2), Some(Version(2)));
  assert_eq!(version_of(&world, 3), Some(Version(1)));

  world.crash(2, false);
  world.faults.blocked = vec![(0, 2), (1, 2), (0, 3), (0, 4), (1, 3), (1, 4)];
  world.faults.store_cut = vec![2, 3, 4];
  world.start(2);
  world.run_until(world.now + SETTLE_MS);
  assert_eq!(
    version_of(&world, 2),
    None,
    "two of the four other boxes are too few to confirm a version"
  );

  world.heal();
  world.run_until(world.now + 2 * SETTLE_MS);
  world.check_converged();
}

/// A box that restarts while the store is down gets its configuration from the others.
#[test]
fn a_restarted_box_joins_from_others_while_the_store_is_down() {
  let mut world = settled(5);
  world.faults.store_down = true;
  world.crash(4, false);
  world.run_until(world.now + SETTLE_MS);
  world.start(4);
  world.run_until(world.now + SETTLE_MS);
  assert_eq!(version_of(&world, 4), Some(Version(1)));
}

/// The relays crash while the store is down. Any box with a configuration then serves the others.
#[test]
fn boxes_join_from_each_other_when_all_relays_and_the_store_are_down() {
  let mut world = settled(6);
  world.faults.store_down = true;
  let is_relay = |world: &World, index: usize| {
    let distributor = world.boxes[index].distributor.as_ref();
    distributor.is_some_and(|one| one.status().slot.is_some())
  };
  let relays: Vec<usize> = (0..6).filter(|index| is_relay(&world, *index)).collect();
  assert_eq!(relays.len(), 2);
  for index in &relays {
    world.crash(*index, true);
  }
  let other = (0..6).find(|index| !relays.contains(index)).expect("a subscriber");
  world.crash(other, true);
  world.run_until(world.now + SETTLE_MS);
  world.start(other);
  world.run_until(world.now + 2 * SETTLE_MS);
  assert_eq!(version_of(&world, other), Some(Version(1)));
}

/// The store is restored to an older state. No box goes back to it, and a restarted box gets the
/// newer version from the others.
#[test]
fn a_store_restored_to_an_older_state_moves_nobody_back() {
  let mut world = settled(5);
  let saved = world.keyspace.clone();
  world.submit_change(1, vec![put_route(0, 0)]);
  world.run_until(world.now + SETTLE_MS);
  assert_eq!(version_of(&world, 4), Some(Version(2)));
  world.keyspace = saved;
  world.run_until(world.now + 4 * SETTLE_MS);
  world.crash(3, false);
  world.run_until(world.now + SETTLE_MS);
  world.start(3);
  world.run_until(world.now + SETTLE_MS);
  for index in 0..5 {
    assert_eq!(version_of(&world, index), Some(Version(2)), "box {index}");
  }
  let behind = world.boxes.iter().filter_map(|one| one.distributor.as_ref()?.status().store_behind);
  assert!(behind.count() > 0, "no relay reports that the store is behind");
}

/// A change on a box that holds a newer version than the store is refused and writes nothing.
#[test]
fn a_change_on_a_store_that_is_behind_is_refused() {
  let mut world = settled(4);
  let saved = world.keyspace.clone();
  world.submit_change(1, vec![put_route(0, 0)]);
  world.run_until(world.now + SETTLE_MS);
  world.keyspace = saved;
  let head = StoreRequest::Read { key: keys::head() };
  let read = |world: &mut World| match world.keyspace.call(Time(world.now), &head) {
    Ok(Reply::Entry { entry, .. }) => entry,
    other => panic!("{other:?}"),
  };
  let before = read(&mut world);
  world.submit_change(2, vec![put_route(1, 0)]);
  world.run_until(world.now + 100);
  assert_eq!(world.oracle.newest(), Version(2));
  world.oracle.check_history();
  assert_eq!(read(&mut world), before);
}
