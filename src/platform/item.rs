use super::*;

use base64::{Engine, prelude::BASE64_STANDARD};

/// An item as the store gives it.
pub(super) struct Item {
  entry: Entry,
  /// Whether a watch tells that the key is gone.
  is_gone: bool,
}

impl Item {
  /// Reads an item. What is wrong with it is told in its value, and its key is empty where it names none.
  pub(super) fn read(text: &str) -> Self {
    match Fields::of(text) {
      Ok(fields) => Self::of(&fields),
      Err(reason) => {
        let value = Value::unreadable(reason);
        let entry = Entry { key: Key::of(&[]), revision: Revision::default(), value };
        Self { entry, is_gone: false }
      }
    }
  }

  /// The item that these fields make up.
  pub(super) fn of(fields: &Fields) -> Self {
    let key = fields.get::<String>("Key");
    let revision = fields.get::<u64>("Revision");
    let is_gone = fields.find::<bool>("Tombstone").map(Option::unwrap_or_default);
    let wrong = [key.as_ref().err(), revision.as_ref().err(), is_gone.as_ref().err()];
    let value = match wrong.into_iter().flatten().next() {
      Some(reason) => Value::unreadable(reason),
      None if is_gone == Ok(true) => Value::from(""),
      None => value(fields).map_or_else(Value::unreadable, Value::Text),
    };
    let is_gone = is_gone == Ok(true) && value.text().is_ok();
    let key = Key::of(&[&key.unwrap_or_default()]);
    Self {
      entry: Entry { key, revision: Revision::from(revision.unwrap_or_default()), value },
      is_gone,
    }
  }

  /// The product's own form of the item.
  pub(super) fn into_entry(self) -> Entry {
    self.entry
  }

  /// The product's own form of the change that the item stands for.
  pub(super) fn into_event(self) -> Event {
    let (key, revision) = (self.entry.key.clone(), self.entry.revision);
    Event { entry: (!self.is_gone).then_some(self.entry), key, revision }
  }

  /// The key, from which the next page goes on.
  pub(super) fn key(&self) -> &Key {
    &self.entry.key
  }

  /// The revision of the item's last change; 0 where it names none.
  pub(super) fn revision(&self) -> Revision {
    self.entry.revision
  }
}

/// The text of an item's value.
fn value(fields: &Fields) -> Result<String, String> {
  let encoded: String = fields.get("Value")?;
  let bytes = BASE64_STANDARD.decode(encoded).map_err(|err| format!("`Value`: {err}"))?;
  String::from_utf8(bytes).map_err(|err| format!("`Value`: {err}"))
}
