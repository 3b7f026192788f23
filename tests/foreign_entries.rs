//! Directory entries that another writer created or overwrote with an unreadable value.
//!
//! Such an entry names no backend server and hides no other box. A box whose entry was overwritten
//! gets no requests on the strength of its earlier entry. It rewrites the entry and is then used
//! again.

mod support;

use {ferryyoke::store::Value, support::followers::Followers};

const BOXES: usize = 12;

/// Virtual milliseconds until every watcher has read the directory and all boxes have the result.
const READ_MS: u64 = 14_000;

const NOBODY: [usize; 0] = [];

fn fleet() -> Followers {
  let fleet = Followers::at_rest(BOXES);
  assert_eq!(boxes_that_ignore(&fleet, 0), NOBODY);
  fleet
}

/// Returns the boxes that do not regard `other` as accepting requests.
fn boxes_that_ignore(fleet: &Followers, other: usize) -> Vec<usize> {
  fleet.boxes_failing(BOXES, |fleet, index| fleet.sees_live(index, other))
}

/// Returns values that are not valid entries of box `index`.
fn corrupt_entries(fleet: &mut Followers, index: usize) -> Vec<Value> {
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
fn a_box_with_a_corrupt_entry_rewrites_it_and_is_used_again() {
  let mut fleet = fleet();
  for value in corrupt_entries(&mut fleet, 0) {
    fleet.write_foreign("mesh/boxes/box-0", value.clone());
    fleet.run(READ_MS);
    assert_eq!(boxes_that_ignore(&fleet, 0), NOBODY, "{value:?}: {:#?}", fleet.logged);
    assert!(fleet.box_entry(0).is_some_and(|entry| entry != value), "{value:?} was not replaced");
    assert!(
      fleet.unreadable.iter().any(|(_, one)| one.key.as_str().ends_with("box-0")),
      "{value:?}"
    );
    fleet.unreadable.clear();
  }
}

/// The state that was known before the entry was overwritten must not be used.
#[test]
fn a_box_with_a_corrupt_entry_is_not_used_until_it_rewrites_the_entry() {
  let mut fleet = fleet();
  fleet.paused.insert(Followers::box_id(0));
  fleet.write_foreign("mesh/boxes/box-0", Value::unreadable("no text"));
  fleet.run(3_500);
  let all_others: Vec<usize> = (1..BOXES).collect();
  assert_eq!(
    boxes_that_ignore(&fleet, 0).into_iter().filter(|index| *index > 0).collect::<Vec<_>>(),
    all_others
  );
  fleet.paused.clear();
  fleet.run(READ_MS);
  assert_eq!(boxes_that_ignore(&fleet, 0), NOBODY, "{:#?}", fleet.logged);
}

#[test]
fn a_foreign_entry_hides_no_box_that_starts_later() {
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

/// A writer that keeps corrupting an entry causes a bounded number of writes and log lines.
#[test]
fn an_entry_that_is_corrupted_repeatedly_costs_few_calls() {
  let mut fleet = fleet();
  let before = fleet.store_tenths;
  fleet.run(30_000);
  let at_rest = fleet.store_tenths - before;
  let before = fleet.store_tenths;
  for _ in 0..300 {
    fleet.write_foreign("mesh/boxes/box-0", Value::unreadable("no text"));
    fleet.run(100);
  }
  let under_corruption = fleet.store_tenths - before;
  assert!(
    under_corruption < at_rest + 900,
    "{under_corruption} tenths of a call in 30 s, {at_rest} at rest"
  );
  assert!(fleet.unreadable.len() < 120, "{} lines", fleet.unreadable.len());
}
