//! Evacuations of data halls: every box hears of one and of its end, whichever way, and in whatever order.

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

fn told(index: u64, revision: u64, is_evacuated: bool) -> Evacuation {
  Evacuation { data_hall: hall(index), is_evacuated, revision: Revision::from(revision) }
}

/// Boxes that do not hold just these data halls for evacuated.
fn wrong(fleet: &Followers, halls: &[u64]) -> Vec<usize> {
  let wanted: BTreeSet<DataHall> = halls.iter().copied().map(hall).collect();
  fleet.lacking(BOXES, |fleet, index| fleet.evacuated(index) == wanted)
}

#[test]
fn every_box_hears_of_an_evacuation_and_of_its_end() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.write_item(&["op", "evacuate", "hall-1"], "{}".into());
  fleet.run(500);
  assert_eq!(wrong(&fleet, &[1]), NOBODY, "{:#?}", fleet.logged);
  fleet.write_item(&["op", "evacuate", "hall-0"], "{}".into());
  fleet.remove_item(&["op", "evacuate", "hall-1"]);
  fleet.run(500);
  assert_eq!(wrong(&fleet, &[0]), NOBODY);
  fleet.remove_item(&["op", "evacuate", "hall-0"]);
  fleet.run(500);
  assert_eq!(wrong(&fleet, &[]), NOBODY);
}

#[test]
fn a_box_that_starts_meanwhile_hears_of_it_with_its_first_configuration() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.write_item(&["op", "evacuate", "hall-2"], "{}".into());
  fleet.run(500);
  fleet.start(4, 20_000);
  while fleet.version(4).is_none() {
    fleet.run(10);
  }
  assert_eq!(wrong(&fleet, &[2]), NOBODY);
}

/// Boxes that the store turns away hear of it from their neighbours.
#[test]
fn boxes_without_the_store_hear_of_it_too() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.unserved.extend((0..4).map(Followers::box_id));
  fleet.run(1_500);
  fleet.write_item(&["op", "evacuate", "hall-2"], "{}".into());
  fleet.run(1_500);
  assert_eq!(wrong(&fleet, &[2]), NOBODY, "{:#?}", fleet.logged);
  fleet.remove_item(&["op", "evacuate", "hall-2"]);
  fleet.run(1_500);
  assert_eq!(wrong(&fleet, &[]), NOBODY);
}

/// A whole fleet that misses the end of one finds that out with its next read.
#[test]
fn the_end_that_everybody_missed_is_read() {
  let mut fleet = Followers::at_rest(BOXES);
  fleet.write_item(&["op", "evacuate", "hall-1"], "{}".into());
  fleet.run(500);
  fleet.unserved.extend((0..BOXES).map(Followers::box_id));
  fleet.run(500);
  fleet.remove_item(&["op", "evacuate", "hall-1"]);
  fleet.forget_history();
  fleet.run(500);
  fleet.unserved.clear();
  fleet.run(4_000);
  assert_eq!(wrong(&fleet, &[]), NOBODY, "{:#?}", fleet.logged);
}

/// News come late, twice, and in any order; whoever heard all of it agrees.
#[test]
fn the_order_of_news_does_not_matter() {
  histories(300, |u| {
    let news: Vec<Evacuation> = (1..=8)
      .map(|revision| Ok(told(u.int_in_range(0..=2)?, revision, u.arbitrary()?)))
      .collect::<arbtest::arbitrary::Result<_>>()?;
    let mut in_order = Evacuations::default();
    for one in &news {
      assert!(in_order.merge(one));
    }
    let mut shuffled = Evacuations::default();
    for _ in 0..40 {
      shuffled.merge(u.choose(&news)?);
    }
    for one in &news {
      shuffled.merge(one);
    }
    assert_eq!(in_order.halls(), shuffled.halls());
    Ok(())
  });
}

#[test]
fn a_read_ends_what_it_is_newer_than() {
  let mut known = Evacuations::default();
  known.merge(&told(0, 10, true));
  assert_eq!(known.ended(&BTreeSet::new(), Revision::from(9)), []);
  assert_eq!(known.ended(&BTreeSet::from([hall(0)]), Revision::from(12)), []);
  assert_eq!(known.ended(&BTreeSet::new(), Revision::from(12)), [told(0, 12, false)]);
}
