//! Messages and store calls of a fleet: idle, per change, and when all boxes start at once.

mod support;

use support::world::{World, put_policy, put_service};

/// Virtual milliseconds within which a fleet converges.
const SETTLE_MS: u64 = 30_000;

/// Virtual milliseconds over which a fleet is observed.
const WATCH_MS: u64 = 60_000;

fn settled(boxes: usize, data_halls: usize) -> World {
  let mut world = World::new(boxes, data_halls, 7);
  world.run_until(SETTLE_MS / 2);
  world.submit_change(0, vec![put_policy(), put_service(0)]);
  world.run_until(SETTLE_MS);
  world.check_converged();
  world
}

#[test]
fn an_idle_fleet_sends_no_updates() {
  for boxes in [6, 40, 120] {
    let mut world = settled(boxes, 3);
    let before = world.news_sent;
    world.run_until(SETTLE_MS + WATCH_MS);
    assert_eq!(world.news_sent, before, "{boxes} idle boxes sent updates");
  }
}

/// Relays read the change from the store. Every other box is sent it exactly once, and no box sends
/// it back.
#[test]
fn a_change_is_sent_once_to_each_subscriber() {
  let mut world = settled(40, 2);
  let before = world.news_sent;
  world.submit_change(5, vec![put_service(1)]);
  world.run_until(SETTLE_MS + WATCH_MS / 6);
  world.check_converged();
  let subscribers = world.boxes.len() - world.relays();
  assert_eq!(world.news_sent - before, subscribers as u64);
}

/// An idle relay makes one long-polling watch and renews one lease. Other boxes do not call the
/// store.
#[test]
fn store_calls_of_an_idle_fleet_grow_with_relays_and_not_with_boxes() {
  let calls_per_relay = |boxes: usize| {
    let mut world = settled(boxes, 3);
    let before = world.store_calls;
    world.run_until(SETTLE_MS + WATCH_MS);
    (world.store_calls - before) / world.relays() as u64
  };
  let (few, many) = (calls_per_relay(6), calls_per_relay(60));
  assert!(few < 80 && many < 80, "{few} and {many} calls a relay and minute");
}

#[test]
fn a_fleet_that_starts_at_once_calls_the_store_a_bounded_number_of_times() {
  let calls = |boxes: usize| {
    let mut world = World::new(boxes, 3, 11);
    world.run_until(5_000);
    world.store_calls
  };
  let (few, many) = (calls(12), calls(120));
  assert!(many < 3 * few + 120, "{few} calls of 12 boxes, {many} of 120");
}

/// The size that the design aims at: 740 boxes in 6 data halls of 3 regions, 40 ms apart.
#[test]
fn a_change_reaches_740_boxes_in_3_regions_within_4_virtual_seconds() {
  const LIMIT_MS: u64 = 4_000;
  let mut world = World::new(740, 6, 13);
  world.region_delay_ms = 40;
  world.run_until(SETTLE_MS / 2);
  world.submit_change(0, vec![put_policy(), put_service(0)]);
  world.run_until(SETTLE_MS);
  world.check_converged();
  assert_eq!(world.relays(), 24);
  for (change, index) in [3, 404, 739].into_iter().enumerate() {
    let stated_at = world.now;
    world.submit_change(index, vec![put_service(1 + u8::try_from(change).expect("few"))]);
    world.run_until(stated_at + LIMIT_MS);
    world.check_converged();
  }
}
