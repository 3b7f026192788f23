//! Questions of operators to a fleet.

mod support;

use support::world::World;

const BOXES: usize = 12;

/// Virtual milliseconds after which an inquiry has ended.
const INQUIRY_MS: u64 = 2_000;

/// Virtual milliseconds within which a fleet has its links.
const SETTLE_MS: u64 = 30_000;

fn asked(world: &mut World) -> usize {
  world.ask(0);
  world.run_until(world.now + INQUIRY_MS);
  world.asked.pop().expect("an answer")
}

#[test]
fn an_inquiry_counts_the_boxes_that_it_reaches() {
  let mut world = World::new(BOXES, 3, 5);
  world.run_until(SETTLE_MS);
  assert_eq!(asked(&mut world), BOXES);
}

/// Guards against a question that passes over a box without links, as if that had no record.
#[test]
fn an_inquiry_does_not_count_a_box_without_links() {
  let mut world = World::new(BOXES, 3, 5);
  world.run_until(SETTLE_MS);
  world.faults.blocked = (0..BOXES - 1).map(|index| (index, BOXES - 1)).collect();
  world.run_until(world.now + SETTLE_MS);
  assert_eq!(asked(&mut world), BOXES - 1);
  world.faults.blocked.clear();
  world.run_until(world.now + SETTLE_MS);
  assert_eq!(asked(&mut world), BOXES);
}
