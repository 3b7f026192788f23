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

/// Returns `whole` with each of its numbers in turn, and each port of its addresses, replaced by ones that are out of
/// the ordinary or out of range, and texts that are nested deeply.
fn odd_entries(whole: &str) -> Vec<String> {
  const NESTED: usize = 100_000;
  const NUMBERS: [&str; 8] = [
    "18446744073709551615",
    "18446744073709551616",
    "4294967295",
    "1e400",
    "-1",
    "0",
    "65536",
    "0.5",
  ];
  const PORTS: [&str; 4] = [":0\"", ":65536\"", ":99999999999999999999\"", ":-1\""];
  let mut odd = vec!["[".repeat(NESTED), "{\"a\":".repeat(NESTED)];
  odd.push(format!("{{\"odd\":{}{},{}", "[".repeat(NESTED), "]".repeat(NESTED), &whole[1..]));
  let bytes = whole.as_bytes();
  let is_number_at =
    |at: usize| bytes[at].is_ascii_digit() && matches!(bytes[at - 1], b':' | b'[' | b',');
  for start in (1..whole.len()).filter(|at| is_number_at(*at)) {
    let end = start + bytes[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    let replaced = |number: &str| format!("{}{number}{}", &whole[..start], &whole[end..]);
    if bytes[end] == b'"' {
      odd.extend(PORTS.map(|port| format!("{}{port}{}", &whole[..start - 1], &whole[end + 1..])));
    } else if matches!(bytes[end], b',' | b'}' | b']') {
      odd.extend(NUMBERS.map(replaced));
    }
  }
  odd
}

/// Guards against an odd entry of another writer (nested deeply, with a number or port out of range) that ends the
/// boxes that read it, or keeps them from following the others.
#[test]
fn an_odd_entry_ends_no_box_and_hides_no_other() {
  let mut fleet = fleet();
  let whole = fleet.box_entry(0).expect("an entry");
  let whole = whole.text().expect("text").to_string();
  let odd = odd_entries(&whole);
  assert!(odd.len() > 40, "{whole}");
  for (number, entry) in odd.into_iter().enumerate() {
    let shown: String = entry.chars().take(400).collect();
    let foreign = entry.replace("\"box-0\"", "\"foreign\"");
    fleet.write_foreign("mesh/boxes/box-0", Value::from(entry.as_str()));
    fleet.write_foreign("mesh/boxes/foreign", Value::from(foreign.as_str()));
    fleet.run(READ_MS);
    let unseen: Vec<usize> =
      (0..BOXES).filter(|index| !boxes_that_ignore(&fleet, *index).is_empty()).collect();
    assert_eq!(unseen, NOBODY, "{shown}: {:#?}", fleet.logged);
    let version = u64::try_from(number).expect("a small number") + 2;
    fleet.write_version(version);
    fleet.run(3_000);
    assert_eq!(fleet.boxes_without_version(BOXES, version), NOBODY, "{shown}: {:#?}", fleet.logged);
    fleet.unreadable.clear();
    fleet.logged.clear();
  }
}
