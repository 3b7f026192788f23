//! Random histories of a fleet under faults, checked against a simple oracle.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    configuration::Operation,
    distribution::{Message, PackedUpdate},
    fleet::EndpointState,
  },
  support::{
    histories,
    world::{World, delete_route, delete_service, put_policy, put_route, put_service},
  },
};

/// Number of histories in each fuzz test.
const HISTORIES: u64 = 2_000;

/// Number of steps in one history.
const STEPS: usize = 25;

/// Virtual milliseconds within which a fleet converges after faults end. If every watch missed a
/// change whose writer crashed before it could announce it, the next full read of the store, once a
/// minute, finds it. Then a lease expires, a relay slot is acquired, and the subscribers connect.
const CONVERGENCE_MS: u64 = 90_000;

fn operations(u: &mut Unstructured) -> Result<Vec<Operation>> {
  let mut operations = Vec::new();
  for _ in 0..u.int_in_range(1..=3)? {
    let (route, service) = (u.int_in_range(0..=5)?, u.int_in_range(0..=3)?);
    operations.push(match u.int_in_range(0..=9)? {
      0 => put_policy(),
      1..=3 => put_service(service),
      4 => delete_service(service),
      5 => delete_route(route),
      _ => put_route(route, service),
    });
  }
  Ok(operations)
}

fn change(u: &mut Unstructured, world: &mut World) -> Result<()> {
  let index = u.choose_index(world.boxes.len())?;
  let operations = operations(u)?;
  world.submit_change(index, operations);
  Ok(())
}

fn started(u: &mut Unstructured) -> Result<World> {
  let boxes = u.int_in_range(3..=7)?;
  let data_halls = u.int_in_range(1..=2)?;
  let mut world = World::new(boxes, data_halls, u.arbitrary()?);
  world.run_until(u.int_in_range(0..=6_000)?);
  let first = vec![put_policy(), put_service(0), put_service(1), put_route(0, 0)];
  world.submit_change(0, first);
  Ok(world)
}

fn fault(u: &mut Unstructured, world: &mut World) -> Result<()> {
  let index = u.choose_index(world.boxes.len())?;
  let other = u.choose_index(world.boxes.len())?;
  match u.int_in_range(0..=20)? {
    0 | 1 => world.crash(index, u.arbitrary()?),
    2 | 3 => world.start(index),
    4 => world.pause(index, u.int_in_range(100..=9_000)?),
    5 => world.cut_link(u.int_in_range(0..=50)?),
    6 => world.faults.blocked.push((index, other)),
    7 => world.faults.blocked.clear(),
    8 => world.faults.store_down = true,
    9 => world.faults.store_down = false,
    10 => world.faults.lost_answers = u.int_in_range(0..=60)?,
    11 => world.faults.store_slow_ms = u.int_in_range(0..=1_500)?,
    12 => world.keyspace.expire_all_leases(),
    13 => {
      world.faults.silent_watches = u.arbitrary()?;
      world.faults.skipping_watches = u.arbitrary()?;
    }
    17 => world.faults.store_cut.push(index),
    18 => world.faults.store_cut.clear(),
    19 => {
      if let Some(update) = world.forged_delta(index) {
        world.inject_message(index, Message::Update(PackedUpdate::pack(&update)));
      }
    }
    14 => world.set_state(index, EndpointState::Draining),
    15 => world.set_state(index, EndpointState::Live),
    16 => {
      world.set_state(index, EndpointState::Leaving);
      world.run_until(world.now + u.int_in_range(1..=3_000)?);
      world.crash(index, false);
    }
    _ => {
      if let Some(update) = world.forged_snapshot(other) {
        world.inject_message(index, Message::Update(PackedUpdate::pack(&update)));
      }
    }
  }
  Ok(())
}

fn end(world: &mut World) {
  world.heal();
  world.run_until(world.now + CONVERGENCE_MS);
  world.oracle.check_history();
  world.check_converged();
}

#[test]
fn a_fleet_under_faults_keeps_its_history_and_converges() {
  let mut acknowledged = 0;
  histories(HISTORIES, |u| {
    let mut world = started(u)?;
    for _ in 0..STEPS {
      if u.arbitrary()? {
        change(u, &mut world)?;
      } else {
        fault(u, &mut world)?;
      }
      world.run_until(world.now + u.int_in_range(1..=1_500)?);
    }
    end(&mut world);
    acknowledged += world.oracle.acknowledged_count();
    Ok(())
  });
  assert!(acknowledged > 1_000, "only {acknowledged} changes were accepted in all histories");
}
