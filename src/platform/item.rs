use super::*;

use base64::{Engine, prelude::BASE64_STANDARD};

/// An item of the platform's store.
pub(super) struct Item {
  entry: Entry,
  /// Whether a watch reports the deletion of the key.
  is_gone: bool,
}

impl Item {
  /// Parses an item. An error is stored in its value, and a missing key is read as an empty one.
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

  /// Builds an item from its fields.
  pub(super) fn of(fields: &Fields) -> Self {
    let key = fields.get::<String>("Key");
    let revision = fields.get::<u64>("Revision");
    let is_gone = fields.find::<bool>("Tombstone").map(Option::unwrap_or_default);
    let errors = [key.as_ref().err(), revision.as_ref().err(), is_gone.as_ref().err()];
    let value = match errors.into_iter().flatten().next() {
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

  /// Converts the item to an entry.
  pub(super) fn into_entry(self) -> Entry {
    self.entry
  }

  /// Converts the item to an event.
  pub(super) fn into_event(self) -> Event {
    let (key, revision) = (self.entry.key.clone(), self.entry.revision);
    Event { entry: (!self.is_gone).then_some(self.entry), key, revision }
  }

  /// Returns the key, after which the next page starts.
  pub(super) fn key(&self) -> &Key {
    &self.entry.key
  }

  /// Returns the revision of the item's last change, or 0 if it is missing.
  pub(super) fn revision(&self) -> Revision {
    self.entry.revision
  }
}

/// Decodes an item's value from base64 to text.
fn value(fields: &Fields) -> Result<String, String> {
  let encoded: String = fields.get("Value")?;
  let bytes = BASE64_STANDARD.decode(encoded).map_err(|err| format!("`Value`: {err}"))?;
  String::from_utf8(bytes).map_err(|err| format!("`Value`: {err}"))
}
