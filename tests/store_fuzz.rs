//! Fuzz test of the store's client with answers that mix valid and malformed items.
//!
//! The client must read each valid item as written, report each malformed one as unreadable, and
//! neither panic nor reject the answer.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  base64::{Engine, prelude::BASE64_STANDARD},
  ferryyoke::{
    platform::StoreClient,
    store::{Key, Reply, Revision, Store, StoreRequest, Value},
  },
  serde_json::json,
  std::{cell::RefCell, rc::Rc},
  support::scripted_store::{run, store, whole},
};

/// The number of random answers.
const HISTORIES: u64 = 1_000;

/// An item of the store's answer, and the key and value that must be read from it if it is valid.
type Written = (serde_json::Value, Option<(String, String)>);

fn text(u: &mut Unstructured) -> Result<String> {
  let length = *u.choose(&[0, 1, 5, 40])?;
  (0..length).map(|_| u.arbitrary::<char>()).collect()
}

fn valid_item(u: &mut Unstructured) -> Result<Written> {
  let (key, value) = (text(u)?, text(u)?);
  let revision: u32 = u.arbitrary()?;
  let item = json!({
    "Created": revision, "Key": key, "Lease": 0, "Revision": revision,
    "Value": BASE64_STANDARD.encode(&value),
  });
  Ok((item, Some((key, value))))
}

/// JSON that is neither a string nor a non-negative integer.
fn other_type(u: &mut Unstructured) -> Result<serde_json::Value> {
  let nested = (0..*u.choose(&[1, 100, 126])?).fold(json!(null), |inner, _| json!([inner]));
  Ok(
    u.choose(&[json!(null), json!(-1), json!(1.5), json!(true), json!([]), json!({}), nested])?
      .clone(),
  )
}

/// An item in which one required field is missing or malformed.
fn malformed_item(u: &mut Unstructured) -> Result<Written> {
  let (mut item, _) = valid_item(u)?;
  let name = *u.choose(&["Key", "Revision", "Value"])?;
  let fields = item.as_object_mut().expect("an object");
  match u.int_in_range(0..=3)? {
    0 => {
      fields.remove(name);
    }
    1 => {
      fields.insert("Value".into(), json!(BASE64_STANDARD.encode([0xff, u.arbitrary()?])));
    }
    2 => {
      fields.insert("Value".into(), json!(format!("~{}", text(u)?)));
    }
    _ => {
      fields.insert(name.into(), other_type(u)?);
    }
  }
  Ok((item, None))
}

/// JSON in place of an item that isn't an object.
fn non_object(u: &mut Unstructured) -> Result<Written> {
  Ok((other_type(u)?, None))
}

fn items(u: &mut Unstructured) -> Result<Vec<Written>> {
  let count = u.int_in_range(0..=8)?;
  let one = |u: &mut Unstructured| match u.int_in_range(0..=5)? {
    0..=2 => valid_item(u),
    3 | 4 => malformed_item(u),
    _ => non_object(u),
  };
  (0..count).map(|_| one(u)).collect()
}

fn check(read: &[(Key, Value)], written: &[Written]) {
  let valid: Vec<(String, String)> =
    written.iter().filter_map(|(_, valid)| valid.clone()).collect();
  let read_valid: Vec<(String, String)> = read
    .iter()
    .filter_map(|(key, value)| Some((key.to_string(), value.text().ok()?.to_string())))
    .collect();
  assert_eq!(read_valid, valid, "{written:?}");
  assert_eq!(read.len(), written.len(), "each item is reported");
}

#[test]
fn valid_items_are_read_and_malformed_ones_are_not() {
  run(async {
    let body = Rc::new(RefCell::new(String::new()));
    let answered = body.clone();
    let address = store(move |_| vec![whole(&answered.borrow())]);
    let client = StoreClient::new(address, 1_000, 1 << 20);
    let cases = RefCell::new(Vec::new());
    support::histories(HISTORIES, |u| {
      cases.borrow_mut().push(items(u)?);
      Ok(())
    });
    for written in cases.into_inner() {
      let items: Vec<&serde_json::Value> = written.iter().map(|(item, _)| item).collect();
      let answer = json!({ "CurrentRev": 9, "HasMore": false, "events": items, "items": items });
      *body.borrow_mut() = answer.to_string();
      let key = Key::of(&["any"]);
      let listed = client.call(StoreRequest::List { prefix: key.clone() }).await;
      let Ok(Reply::Entries { entries, revision: Revision { count: 9, .. } }) = listed else {
        panic!("{listed:?}: {answer}");
      };
      check(&entries.into_iter().map(|one| (one.key, one.value)).collect::<Vec<_>>(), &written);
      let request = StoreRequest::Watch { after: Revision::from(1), prefix: key, wait_ms: 100 };
      let watched = client.call(request).await;
      let Ok(Reply::Changes { events, revision: Revision { count: 9, .. } }) = watched else {
        panic!("{watched:?}: {answer}");
      };
      let changed = events.into_iter().map(|one| (one.key, one.entry.expect("not deleted").value));
      check(&changed.collect::<Vec<_>>(), &written);
    }
  });
}
