//! Rollouts of a service: good versions are completed and bad ones rolled back in time, even if boxes or the store
//! fail meanwhile. The load keeps half of the slots busy, and request durations vary by a factor of seven.

mod support;

use {
  ferryyoke::{
    distribution::Event,
    rollout::{Lane, Stage},
    values::BoxId,
  },
  support::{
    followers::Followers,
    rollout_world::{Fault, RolloutWorld, service, version},
  },
};

/// Boxes of each version.
const BOXES: usize = 12;
/// The duration of an order in milliseconds.
const DURATION_MS: u64 = 14_000;

fn world(seed: u64, fault: Option<Fault>) -> RolloutWorld {
  let mut world = RolloutWorld::new(BOXES, seed);
  world.fault = fault;
  world
}

/// Runs a rollout to its end. Returns the final stage and the milliseconds since the order.
fn run_rollout(world: &mut RolloutWorld) -> (Stage, u64) {
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
  assert_eq!(world.cut_off, 0, "requests ran on old backend servers that were stopped");
  world.run(2_000);
  for index in (0..2 * BOXES).filter(|index| world.fleet.runs(*index)) {
    let traffic = world.fleet.traffic[&Followers::box_id(index)].of(&service());
    assert_eq!(traffic.base, Some("v2".parse().expect("a name")), "box {index}");
  }
}

fn assert_rolled_back(world: &mut RolloutWorld, (stage, took_ms): (Stage, u64)) {
  assert!(matches!(stage, Stage::RolledBack { .. }), "{stage}");
  assert!(took_ms <= DURATION_MS, "{took_ms} ms");
  // The exposure limits apply to the rest of the order's time too.
  world.run(DURATION_MS.saturating_sub(took_ms).max(6_000));
  assert!(
    world.is_exposure_within_limits(),
    "{:?} arrived, {} late",
    world.arrived,
    world.late_arrivals
  );
}

#[test]
fn a_good_version_is_completed_and_the_old_one_is_idle_by_then() {
  for seed in 0..4 {
    let mut world = world(seed, None);
    let end = run_rollout(&mut world);
    assert_completed(&mut world, end);
    assert_eq!(world.refused, 0);
  }
}

#[test]
fn a_version_that_fails_some_requests_is_rolled_back() {
  for (seed, failing) in [0.2, 0.4, 0.5, 1.0].into_iter().enumerate() {
    let mut world = world(seed as u64, Some(Fault::errors(failing)));
    let end = run_rollout(&mut world);
    assert_rolled_back(&mut world, end);
  }
}

#[test]
fn a_version_that_is_several_times_slower_is_rolled_back() {
  for (seed, slower) in [4.0, 8.0].into_iter().enumerate() {
    let fault = Fault { slower, ..Fault::errors(0.0) };
    let mut world = world(seed as u64, Some(fault));
    let end = run_rollout(&mut world);
    assert_rolled_back(&mut world, end);
  }
}

#[test]
fn a_version_with_some_slow_answers_is_rolled_back() {
  for (seed, slow_part) in [0.3, 0.5].into_iter().enumerate() {
    let fault = Fault { slower: 8.0, slow_part, ..Fault::errors(0.0) };
    let mut world = world(seed as u64, Some(fault));
    let end = run_rollout(&mut world);
    assert_rolled_back(&mut world, end);
  }
}

#[test]
fn a_version_that_is_bad_on_a_rarely_used_route_is_rolled_back() {
  for seed in 0..3 {
    let fault = Fault { route: Some("seldom"), ..Fault::errors(0.5) };
    let mut world = world(seed, Some(fault));
    let end = run_rollout(&mut world);
    assert_rolled_back(&mut world, end);
  }
}

#[test]
fn a_version_that_turns_bad_seconds_after_its_start_is_rolled_back() {
  for (seed, from_ms) in [2_000, 3_000, 4_500].into_iter().enumerate() {
    let mut world = world(seed as u64, Some(Fault { from_ms, ..Fault::errors(0.45) }));
    let end = run_rollout(&mut world);
    assert_rolled_back(&mut world, end);
  }
}

#[test]
fn a_version_that_is_bad_under_load_is_rolled_back() {
  for seed in 0..3 {
    let mut world = world(seed, Some(Fault { load_min: 0.5, ..Fault::errors(0.5) }));
    let end = run_rollout(&mut world);
    assert_rolled_back(&mut world, end);
  }
}

/// Guards against blaming the version for the fault of a single backend server, even one that gets the full canary
/// load.
#[test]
fn a_good_version_is_completed_despite_one_faulty_backend_server() {
  for only_box in BOXES..2 * BOXES {
    let fault = Fault { only_box: Some(only_box), ..Fault::errors(0.5) };
    let mut world = world(only_box as u64, Some(fault));
    let (stage, took_ms) = run_rollout(&mut world);
    assert_eq!(stage, Stage::Completed, "box {only_box}");
    assert!(took_ms <= DURATION_MS, "{took_ms} ms");
  }
}

/// The decider crashes, is paused or loses the store, at several points of the rollout.
#[test]
fn another_box_takes_over_from_a_failed_decider() {
  for (seed, after_ms) in [300, 2_500, 6_000, 8_500].into_iter().enumerate() {
    for failure in ["killed", "frozen", "unserved"] {
      for fault in [None, Some(Fault { from_ms: 3_000, ..Fault::errors(0.5) })] {
        let is_good = fault.is_none();
        let mut world = world(seed as u64, fault);
        world.order(DURATION_MS);
        world.run(after_ms);
        let decider = world.decider();
        let box_id: BoxId = Followers::box_id(decider);
        match failure {
          "killed" => world.kill(decider),
          "frozen" => assert!(world.fleet.paused.insert(box_id)),
          _ => assert!(world.fleet.rejected_boxes.insert(box_id)),
        }
        let end = end(&mut world);
        if is_good {
          assert_eq!(end.0, Stage::Completed, "{failure} after {after_ms} ms");
        } else {
          assert!(matches!(end.0, Stage::RolledBack { .. }), "{failure} after {after_ms} ms");
          assert!(
            world.is_exposure_within_limits(),
            "{failure} after {after_ms} ms: {:?}",
            world.arrived
          );
        }
      }
    }
  }
}

/// A resumed decider still acts as the decider. It must neither revert later decisions nor reach another end.
#[test]
fn a_decider_that_resumes_after_the_end_changes_nothing() {
  for seed in 0..3 {
    let mut world = world(seed, None);
    world.order(DURATION_MS);
    world.run(5_000);
    let decider = world.decider();
    world.fleet.paused.insert(Followers::box_id(decider));
    let (stage, _) = end(&mut world);
    assert_eq!(stage, Stage::Completed);
    let record = world.record();
    world.fleet.paused.clear();
    world.run(4_000);
    assert_eq!(world.record(), record);
  }
}

#[test]
fn a_bad_version_gets_no_more_requests_while_the_store_is_unavailable() {
  let mut world = world(1, Some(Fault { from_ms: 3_000, ..Fault::errors(0.5) }));
  world.order(DURATION_MS);
  world.run(2_500);
  let all: Vec<BoxId> = (0..2 * BOXES).map(Followers::box_id).collect();
  world.fleet.rejected_boxes.extend(all);
  world.run(6_000);
  let before = world.arrived.0;
  world.run(2_000);
  assert_eq!(world.arrived.0, before, "a bad version still gets requests after the halt");
  world.fleet.rejected_boxes.clear();
  let end = end(&mut world);
  assert_rolled_back(&mut world, end);
}

#[test]
fn a_good_version_is_completed_after_a_store_outage() {
  let mut world = world(1, None);
  world.order(DURATION_MS);
  world.run(3_000);
  let all: Vec<BoxId> = (0..2 * BOXES).map(Followers::box_id).collect();
  world.fleet.rejected_boxes.extend(all);
  world.run(4_000);
  world.fleet.rejected_boxes.clear();
  let end = end(&mut world);
  assert_completed(&mut world, end);
}

/// The copy is older than the rollout, and the operators write their order again.
#[test]
fn a_rollback_survives_a_restore_of_the_store_from_a_copy() {
  let mut world = world(1, Some(Fault::errors(0.5)));
  world.fleet.back_up();
  let end = run_rollout(&mut world);
  assert!(matches!(end.0, Stage::RolledBack { .. }));
  world.fleet.restore_backup();
  world.fleet.write_version(1);
  let order = "{\"d\":14000,\"s\":\"service\",\"t\":\"v2\"}";
  world.fleet.write_item(&["op", "orders", "service"], order.into());
  let before = world.arrived.0;
  world.run(8_000);
  assert_eq!(world.arrived.0, before, "a rolled back version gets requests again");
  assert!(matches!(world.stage(), Some(Stage::RolledBack { .. })), "{:?}", world.stage());
}

#[test]
fn a_restarted_box_sends_nothing_to_a_rolled_back_version() {
  let mut world = world(1, Some(Fault::errors(0.5)));
  let end = run_rollout(&mut world);
  assert!(matches!(end.0, Stage::RolledBack { .. }));
  world.kill(3);
  world.run(500);
  let before = world.arrived.0;
  world.start(3, "v1");
  world.run(5_000);
  assert_eq!(world.arrived.0, before);
  let traffic = world.fleet.traffic[&Followers::box_id(3)].of(&service());
  assert_eq!(traffic.default_lane(), Lane::InForce);
  assert_eq!(traffic.base, Some("v1".parse().expect("a name")));
}

#[test]
fn a_new_version_without_an_order_gets_no_requests() {
  let mut world = world(1, None);
  (BOXES..BOXES + 4).for_each(|index| world.start(index, "v2"));
  world.run(4_000);
  assert_eq!(world.arrived.0, 0);
}

#[test]
fn a_withdrawn_order_is_rolled_back() {
  let mut world = world(1, None);
  world.order(DURATION_MS);
  world.run(4_000);
  world.fleet.remove_item(&["op", "orders", "service"]);
  let (stage, _) = end(&mut world);
  assert!(matches!(stage, Stage::RolledBack { .. }), "{stage}");
}

#[test]
fn an_order_for_the_version_in_force_completes_at_once() {
  let mut world = world(1, None);
  let order = "{\"d\":14000,\"s\":\"service\",\"t\":\"v1\"}";
  world.fleet.write_item(&["op", "orders", "service"], order.into());
  world.run(2_000);
  assert_eq!(world.stage(), Some(Stage::Completed));
  assert_eq!(world.refused, 0);
}

#[test]
fn an_order_for_a_version_that_no_box_runs_expires() {
  let mut world = world(1, None);
  let order = "{\"d\":5000,\"s\":\"service\",\"t\":\"v2\"}";
  world.fleet.write_item(&["op", "orders", "service"], order.into());
  world.run(4_000);
  assert_eq!(world.stage(), Some(Stage::Waiting));
  world.run(2_500);
  assert!(matches!(world.stage(), Some(Stage::RolledBack { .. })), "{:?}", world.stage());
}

/// Guards against proxies that learn of the version in force before they learn that their box runs it. Until
/// then, requests of a service with a single backend server would be refused.
#[test]
fn proxies_never_refuse_the_only_backend_server_as_its_version_changes() {
  /// Milliseconds after which single changes are no longer batched; more than a tick.
  const TICKS_MS: u64 = 120;
  let mut world = RolloutWorld::new(1, 1);
  for change in 0..TICKS_MS {
    world.fleet.run(TICKS_MS + change);
    // Changes follow one another closely, so that the later ones are batched.
    for change in [2 * change, 2 * change + 1] {
      let serves = Event::EndpointServes {
        service: service(),
        slots: 8,
        software: Some(version(&format!("v-{change}"))),
        starts: 0,
      };
      world.fleet.tell(0, serves);
      let box_id = Followers::box_id(0);
      let own = &world.fleet.proxied[&box_id][&box_id];
      let software = own.software.clone();
      let traffic = world.fleet.traffic.get_mut(&box_id).expect("known").of(&service());
      assert!(traffic.admits(own, traffic.default_lane()), "{software:?} by {traffic:?}");
      world.fleet.run(1 + u64::from(change.is_multiple_of(3)));
    }
  }
}
