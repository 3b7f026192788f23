//! Roll-outs of new versions of a service: good ones are completed and bad ones undone, in time, whoever fails
//! meanwhile. The load keeps half of the slots busy, and machines take as long as they like within a factor of
//! seven.

mod support;

use {
  ferryyoke::{
    rollout::{Lane, Stage},
    values::BoxId,
  },
  support::{
    followers::Followers,
    rollout_world::{Fault, RolloutWorld, service},
  },
};

/// Boxes of each version.
const BOXES: usize = 12;
/// Milliseconds that the operators give a roll-out.
const DURATION_MS: u64 = 14_000;

fn world(seed: u64, fault: Option<Fault>) -> RolloutWorld {
  let mut world = RolloutWorld::new(BOXES, seed);
  world.fault = fault;
  world
}

/// Plays a version to its end. Returns where it ended, and how many milliseconds after the order.
fn play(world: &mut RolloutWorld) -> (Stage, u64) {
  world.order(DURATION_MS);
  end(world)
}

fn end(world: &mut RolloutWorld) -> (Stage, u64) {
  let Some(took_ms) = world.run_to_end(DURATION_MS) else {
    panic!("no end: {:?}\n{:#?}", world.stage(), world.fleet.logged)
  };
  (world.stage().expect("a stage"), took_ms)
}

fn assert_completed(world: &mut RolloutWorld, (stage, took_ms): (Stage, u64)) {
  assert_eq!(stage, Stage::Completed);
  assert!(took_ms <= DURATION_MS, "{took_ms} ms");
  assert_eq!(world.cut, 0, "requests ran at backend servers that are stopped at once");
  world.run(2_000);
  for index in (0..2 * BOXES).filter(|index| world.fleet.runs(*index)) {
    let traffic = world.fleet.traffic[&Followers::box_id(index)].of(&service());
    assert_eq!(traffic.base, Some("v2".parse().expect("a name")), "box {index}");
  }
}

fn assert_undone(world: &mut RolloutWorld, (stage, took_ms): (Stage, u64)) {
  assert!(matches!(stage, Stage::RolledBack { .. }), "{stage}");
  assert!(took_ms <= DURATION_MS, "{took_ms} ms");
  // What is left of the order's time counts too.
  world.run(DURATION_MS.saturating_sub(took_ms).max(6_000));
  assert!(world.exposure_holds(), "{:?} arrived, {} late", world.arrived, world.late_arrivals);
}

#[test]
fn a_good_version_is_completed_and_nothing_runs_at_the_old_one_then() {
  for seed in 0..4 {
    let mut world = world(seed, None);
    let end = play(&mut world);
    assert_completed(&mut world, end);
    assert_eq!(world.refused, 0);
  }
}

#[test]
fn a_version_that_fails_a_part_of_its_requests_is_undone() {
  for (seed, failing) in [0.2, 0.4, 0.5, 1.0].into_iter().enumerate() {
    let mut world = world(seed as u64, Some(Fault::errors(failing)));
    let end = play(&mut world);
    assert_undone(&mut world, end);
  }
}

#[test]
fn a_version_that_is_several_times_slower_is_undone() {
  for (seed, slower) in [4.0, 8.0].into_iter().enumerate() {
    let fault = Fault { slower, ..Fault::errors(0.0) };
    let mut world = world(seed as u64, Some(fault));
    let end = play(&mut world);
    assert_undone(&mut world, end);
  }
}

#[test]
fn a_version_of_which_a_part_of_the_answers_is_several_times_slower_is_undone() {
  for (seed, slow_part) in [0.3, 0.5].into_iter().enumerate() {
    let fault = Fault { slower: 8.0, slow_part, ..Fault::errors(0.0) };
    let mut world = world(seed as u64, Some(fault));
    let end = play(&mut world);
    assert_undone(&mut world, end);
  }
}

#[test]
fn a_version_that_is_bad_on_a_route_that_is_seldom_used_is_undone() {
  for seed in 0..3 {
    let fault = Fault { route: Some("seldom"), ..Fault::errors(0.5) };
    let mut world = world(seed, Some(fault));
    let end = play(&mut world);
    assert_undone(&mut world, end);
  }
}

#[test]
fn a_version_that_turns_bad_seconds_after_its_start_is_undone() {
  for (seed, from_ms) in [2_000, 3_000, 4_500].into_iter().enumerate() {
    let mut world = world(seed as u64, Some(Fault { from_ms, ..Fault::errors(0.45) }));
    let end = play(&mut world);
    assert_undone(&mut world, end);
  }
}

#[test]
fn a_version_that_is_bad_under_the_load_that_it_will_have_is_undone() {
  for seed in 0..3 {
    let mut world = world(seed, Some(Fault { load_min: 0.5, ..Fault::errors(0.5) }));
    let end = play(&mut world);
    assert_undone(&mut world, end);
  }
}

/// The trouble is that backend server's own, also where it is one of the few that get much.
#[test]
fn a_good_version_is_completed_though_one_of_its_backend_servers_fails() {
  for only_box in BOXES..2 * BOXES {
    let fault = Fault { only_box: Some(only_box), ..Fault::errors(0.5) };
    let mut world = world(only_box as u64, Some(fault));
    let (stage, took_ms) = play(&mut world);
    assert_eq!(stage, Stage::Completed, "box {only_box}");
    assert!(took_ms <= DURATION_MS, "{took_ms} ms");
  }
}

/// The decider dies, stands still, or is not served by the store, early or late.
#[test]
fn another_box_goes_on_where_the_decider_fails() {
  for (seed, after_ms) in [300, 2_500, 6_000, 8_500].into_iter().enumerate() {
    for trouble in ["killed", "frozen", "unserved"] {
      for fault in [None, Some(Fault { from_ms: 3_000, ..Fault::errors(0.5) })] {
        let is_good = fault.is_none();
        let mut world = world(seed as u64, fault);
        world.order(DURATION_MS);
        world.run(after_ms);
        let decider = world.decider();
        let box_id: BoxId = Followers::box_id(decider);
        match trouble {
          "killed" => world.kill(decider),
          "frozen" => assert!(world.fleet.frozen.insert(box_id)),
          _ => assert!(world.fleet.unserved.insert(box_id)),
        }
        let end = end(&mut world);
        if is_good {
          assert_eq!(end.0, Stage::Completed, "{trouble} after {after_ms} ms");
        } else {
          assert!(matches!(end.0, Stage::RolledBack { .. }), "{trouble} after {after_ms} ms");
          assert!(world.exposure_holds(), "{trouble} after {after_ms} ms: {:?}", world.arrived);
        }
      }
    }
  }
}

/// A decider that stood still still believes to decide. It neither goes back behind what was decided since nor
/// brings about another end.
#[test]
fn a_decider_that_wakes_up_late_changes_nothing() {
  for seed in 0..3 {
    let mut world = world(seed, None);
    world.order(DURATION_MS);
    world.run(5_000);
    let decider = world.decider();
    world.fleet.frozen.insert(Followers::box_id(decider));
    let (stage, _) = end(&mut world);
    assert_eq!(stage, Stage::Completed);
    let record = world.record();
    world.fleet.frozen.clear();
    world.run(4_000);
    assert_eq!(world.record(), record);
  }
}

#[test]
fn a_bad_version_gets_nothing_more_where_the_store_is_away() {
  let mut world = world(1, Some(Fault { from_ms: 3_000, ..Fault::errors(0.5) }));
  world.order(DURATION_MS);
  world.run(2_500);
  let all: Vec<BoxId> = (0..2 * BOXES).map(Followers::box_id).collect();
  world.fleet.unserved.extend(all);
  world.run(6_000);
  let before = world.arrived.0;
  world.run(2_000);
  assert_eq!(world.arrived.0, before, "boxes that hear of it go on with a bad version");
  world.fleet.unserved.clear();
  let end = end(&mut world);
  assert_undone(&mut world, end);
}

#[test]
fn a_good_version_is_completed_after_the_store_was_away() {
  let mut world = world(1, None);
  world.order(DURATION_MS);
  world.run(3_000);
  let all: Vec<BoxId> = (0..2 * BOXES).map(Followers::box_id).collect();
  world.fleet.unserved.extend(all);
  world.run(4_000);
  world.fleet.unserved.clear();
  let end = end(&mut world);
  assert_completed(&mut world, end);
}

/// The copy knows nothing of the roll-out; the operators write their order again.
#[test]
fn what_was_decided_holds_where_the_store_comes_back_from_a_copy() {
  let mut world = world(1, Some(Fault::errors(0.5)));
  world.fleet.keep_copy();
  let end = play(&mut world);
  assert!(matches!(end.0, Stage::RolledBack { .. }));
  world.fleet.go_back();
  world.fleet.write_version(1);
  let order = "{\"d\":14000,\"s\":\"service\",\"t\":\"v2\"}";
  world.fleet.write_item(&["op", "orders", "service"], order.into());
  let before = world.arrived.0;
  world.run(8_000);
  assert_eq!(world.arrived.0, before, "a version that was found bad gets requests again");
  assert!(matches!(world.stage(), Some(Stage::RolledBack { .. })), "{:?}", world.stage());
}

#[test]
fn a_box_that_starts_meanwhile_sends_nothing_to_a_version_that_was_undone() {
  let mut world = world(1, Some(Fault::errors(0.5)));
  let end = play(&mut world);
  assert!(matches!(end.0, Stage::RolledBack { .. }));
  world.kill(3);
  world.run(500);
  let before = world.arrived.0;
  world.start(3, "v1");
  world.run(5_000);
  assert_eq!(world.arrived.0, before);
  let traffic = world.fleet.traffic[&Followers::box_id(3)].of(&service());
  assert_eq!(traffic.main_lane(), Lane::InForce);
  assert_eq!(traffic.base, Some("v1".parse().expect("a name")));
}

#[test]
fn a_new_version_without_an_order_gets_nothing() {
  let mut world = world(1, None);
  (BOXES..BOXES + 4).for_each(|index| world.start(index, "v2"));
  world.run(4_000);
  assert_eq!(world.arrived.0, 0);
}

#[test]
fn an_order_that_is_taken_back_is_undone() {
  let mut world = world(1, None);
  world.order(DURATION_MS);
  world.run(4_000);
  world.fleet.remove_item(&["op", "orders", "service"]);
  let (stage, _) = end(&mut world);
  assert!(matches!(stage, Stage::RolledBack { .. }), "{stage}");
}

#[test]
fn an_order_for_the_version_in_force_is_done_at_once() {
  let mut world = world(1, None);
  let order = "{\"d\":14000,\"s\":\"service\",\"t\":\"v1\"}";
  world.fleet.write_item(&["op", "orders", "service"], order.into());
  world.run(2_000);
  assert_eq!(world.stage(), Some(Stage::Completed));
  assert_eq!(world.refused, 0);
}

#[test]
fn an_order_for_a_version_that_nobody_runs_ends_when_its_time_is_over() {
  let mut world = world(1, None);
  let order = "{\"d\":5000,\"s\":\"service\",\"t\":\"v2\"}";
  world.fleet.write_item(&["op", "orders", "service"], order.into());
  world.run(4_000);
  assert_eq!(world.stage(), Some(Stage::Waiting));
  world.run(2_500);
  assert!(matches!(world.stage(), Some(Stage::RolledBack { .. })), "{:?}", world.stage());
}
