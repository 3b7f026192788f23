//! Entries of the directory that another writer left or spoiled.
//!
//! Protected: such an entry names no backend server, and hides none. The box whose entry was overwritten is not
//! used by what was known of it before; it writes its entry again, and is used again once it has said so.

mod support;

use {ferryyoke::store::Value, support::followers::Followers};

const BOXES: usize = 12;

/// Milliseconds until every watcher has read the directory, and what it found is known everywhere.
const READ_MS: u64 = 14_000;

const NOBODY: [usize; 0] = [];

fn fleet() -> Followers {
  let fleet = Followers::at_rest(BOXES);
  assert_eq!(unseen(&fleet, 0), NOBODY);
  fleet
}

/// Boxes that do not hold another one for a box that takes work.
fn unseen(fleet: &Followers, other: usize) -> Vec<usize> {
  fleet.boxes_failing(BOXES, |fleet, index| fleet.sees_live(index, other))
}

/// Values that are no entry of the box whose key they are given.
fn spoiled(fleet: &mut Followers, index: usize) -> Vec<Value> {
  let whole = fleet.box_entry(index).expect("an entry");
  let whole = whole.text().expect("text").to_string();
  let mut values: Vec<Value> = ["", "null", "[]", "{}", "7", "\u{0}"].map(Value::from).into();
  values.push(Value::unreadable("no text"));
  values.push(Value::from(&whole[..whole.len() / 2]));
  for (from, to) in [
    ("\"t\":\"live\"", "\"t\":\"jolly\""),
    ("\"n\":8", "\"n\":\"eight\""),
    ("\"s\":\"service\",", ""),
    ("\"box\":\"box-", "\"box\":\"other-"),
    ("\"i\":", "\"i\":1844674407370955"),
  ] {
    assert!(whole.contains(from), "{whole}");
    values.push(Value::from(whole.replace(from, to).as_str()));
  }
  values
}

#[test]
fn a_box_whose_entry_was_spoiled_writes_it_again_and_is_used_again() {
  let mut fleet = fleet();
  for value in spoiled(&mut fleet, 0) {
    fleet.write_foreign("mesh/boxes/box-0", value.clone());
    fleet.run(READ_MS);
    assert_eq!(unseen(&fleet, 0), NOBODY, "{value:?}: {:#?}", fleet.logged);
    assert!(fleet.box_entry(0).is_some_and(|entry| entry != value), "{value:?} still stands");
    assert!(
      fleet.unreadable.iter().any(|(_, one)| one.key.as_str().ends_with("box-0")),
      "{value:?}"
    );
    fleet.unreadable.clear();
  }
}

/// What was known of the box before says nothing any more.
#[test]
fn a_box_whose_entry_is_spoiled_is_not_used_while_it_says_nothing() {
  let mut fleet = fleet();
  fleet.paused.insert(Followers::box_id(0));
  fleet.write_foreign("mesh/boxes/box-0", Value::unreadable("no text"));
  fleet.run(3_500);
  let all_others: Vec<usize> = (1..BOXES).collect();
  assert_eq!(
    unseen(&fleet, 0).into_iter().filter(|index| *index > 0).collect::<Vec<_>>(),
    all_others
  );
  fleet.paused.clear();
  fleet.run(READ_MS);
  assert_eq!(unseen(&fleet, 0), NOBODY, "{:#?}", fleet.logged);
}

#[test]
fn a_foreign_entry_hides_no_box_that_comes_later() {
  let mut fleet = fleet();
  for (index, key) in
    ["mesh/boxes/", "mesh/boxes/foreign", "mesh/boxes/a b/c", ""].iter().enumerate()
  {
    fleet.write_foreign(key, Value::unreadable("no text"));
    let clock_ms = fleet.now;
    fleet.start(BOXES + index, clock_ms);
    fleet.run(READ_MS);
    let unseen = fleet.boxes_failing(BOXES, |fleet, one| fleet.sees_live(one, BOXES + index));
    assert_eq!(unseen, NOBODY, "{key}: {:#?}", fleet.logged);
  }
}

/// One that goes on spoiling an entry costs a bounded number of writes and lines.
#[test]
fn an_entry_that_is_spoiled_again_and_again_costs_little() {
  let mut fleet = fleet();
  let before = fleet.store_tenths;
  fleet.run(30_000);
  let at_rest = fleet.store_tenths - before;
  let before = fleet.store_tenths;
  for _ in 0..300 {
    fleet.write_foreign("mesh/boxes/box-0", Value::unreadable("no text"));
    fleet.run(100);
  }
  let spoiled = fleet.store_tenths - before;
  assert!(spoiled < at_rest + 900, "{spoiled} tenths of a call in 30 s, {at_rest} at rest");
  assert!(fleet.unreadable.len() < 120, "{} lines", fleet.unreadable.len());
}
