//! Evacuations of data halls: every box learns of one and of its end, by any path and in any order.

mod support;

use {
  ferryyoke::{
    distribution::{Evacuation, Evacuations},
    store::Revision,
    values::DataHall,
  },
  std::collections::BTreeSet,
  support::{followers::Followers, histories},
};

const BOXES: usize = 12;
const NOBODY: [usize; 0] = [];

fn hall(index: u64) -> DataHall {
  format!("hall-{index}").parse().expect("a name")
}

fn evacuation(index: u64, revision: u64, is_evacuated: bool) -> Evacuation {
  Evacuation { data_hall: hall(index), is_evacuated, revision: Revision::from(revision) }
}

/// Returns the boxes whose set of evacuated data halls is not exactly this one.
fn disagreeing(fleet: &Followers, halls: &[u64]) -> Vec<usize> {
  let wanted: BTreeSet<DataHall> = halls.iter().copied().map(hall).collect();
  fleet.boxes_failing(BOXES, |fleet, index| fleet.evacuated(index) == wanted)
}

#[test]
fn every_box_learns_of_an_evacuation_and_of_its_end() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.write_item(&["op", "evacuate", "hall-1"], "{}".into());
  fleet.run(500);
  assert_eq!(disagreeing(&fleet, &[1]), NOBODY, "{:#?}", fleet.logged);
  fleet.write_item(&["op", "evacuate", "hall-0"], "{}".into());
  fleet.remove_item(&["op", "evacuate", "hall-1"]);
  fleet.run(500);
  assert_eq!(disagreeing(&fleet, &[0]), NOBODY);
  fleet.remove_item(&["op", "evacuate", "hall-0"]);
  fleet.run(500);
  assert_eq!(disagreeing(&fleet, &[]), NOBODY);
}

#[test]
fn a_box_that_starts_meanwhile_learns_of_it_with_its_first_configuration() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.write_item(&["op", "evacuate", "hall-2"], "{}".into());
  fleet.run(500);
  fleet.start(4, 20_000);
  while fleet.version(4).is_none() {
    fleet.run(10);
  }
  assert_eq!(disagreeing(&fleet, &[2]), NOBODY);
}

/// Boxes that the store rejects learn of it from their neighbours.
#[test]
fn boxes_without_the_store_learn_of_it_too() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.rejected_boxes.extend((0..4).map(Followers::box_id));
  fleet.run(1_500);
  fleet.write_item(&["op", "evacuate", "hall-2"], "{}".into());
  fleet.run(1_500);
  assert_eq!(disagreeing(&fleet, &[2]), NOBODY, "{:#?}", fleet.logged);
  fleet.remove_item(&["op", "evacuate", "hall-2"]);
  fleet.run(1_500);
  assert_eq!(disagreeing(&fleet, &[]), NOBODY);
}

/// If a whole fleet misses the end of an evacuation, its next read shows it.
#[test]
fn an_end_that_the_whole_fleet_missed_is_read() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.write_item(&["op", "evacuate", "hall-1"], "{}".into());
  fleet.run(500);
  fleet.rejected_boxes.extend((0..BOXES).map(Followers::box_id));
  fleet.run(500);
  fleet.remove_item(&["op", "evacuate", "hall-1"]);
  fleet.forget_history();
  fleet.run(500);
  fleet.rejected_boxes.clear();
  fleet.run(4_000);
  assert_eq!(disagreeing(&fleet, &[]), NOBODY, "{:#?}", fleet.logged);
}

/// Updates come late, twice and in any order; all boxes that received all of them agree.
#[test]
fn the_order_of_updates_does_not_matter() {
  histories(300, |u| {
    let updates: Vec<Evacuation> = (1..=8)
      .map(|revision| Ok(evacuation(u.int_in_range(0..=2)?, revision, u.arbitrary()?)))
      .collect::<arbtest::arbitrary::Result<_>>()?;
    let mut in_order = Evacuations::default();
    for one in &updates {
      assert!(in_order.merge(one));
    }
    let mut shuffled = Evacuations::default();
    for _ in 0..40 {
      shuffled.merge(u.choose(&updates)?);
    }
    for one in &updates {
      shuffled.merge(one);
    }
    assert_eq!(in_order.halls(), shuffled.halls());
    Ok(())
  });
}

#[test]
fn a_read_ends_older_evacuations() {
  let mut known = Evacuations::default();
  known.merge(&evacuation(0, 10, true));
  assert_eq!(known.ended(&BTreeSet::new(), Revision::from(9)), []);
  assert_eq!(known.ended(&BTreeSet::from([hall(0)]), Revision::from(12)), []);
  assert_eq!(known.ended(&BTreeSet::new(), Revision::from(12)), [evacuation(0, 12, false)]);
}
