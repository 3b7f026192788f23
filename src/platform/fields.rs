use super::*;

use serde_json::value::RawValue;

/// The fields of a JSON object, each still to be read.
///
/// Another writer's item may lack fields, hold others of another type or nest them deeply. Read one by one, a
/// field spoils nothing but itself.
pub(super) struct Fields<'a>(BTreeMap<String, &'a RawValue>);

impl<'a> Fields<'a> {
  /// The fields of `text`, or why it is no object.
  pub(super) fn of(text: &'a str) -> Result<Self, String> {
    serde_json::from_str(text).map(Self).map_err(|err| err.to_string())
  }

  /// A field, or what is wrong with it.
  pub(super) fn get<T: Deserialize<'a>>(&self, name: &str) -> Result<T, String> {
    let raw = self.0.get(name).ok_or_else(|| format!("`{name}` is missing"))?;
    serde_json::from_str(raw.get()).map_err(|err| format!("`{name}`: {err}"))
  }

  /// A field that may be missing, or what is wrong with it.
  pub(super) fn find<T: Deserialize<'a>>(&self, name: &str) -> Result<Option<T>, String> {
    if self.0.contains_key(name) { self.get(name).map(Some) } else { Ok(None) }
  }

  /// The items in a field.
  pub(super) fn items(&self, name: &str) -> Result<Vec<Item>, String> {
    let items: Vec<&'a RawValue> = self.get(name)?;
    Ok(items.into_iter().map(|item| Item::read(item.get())).collect())
  }
}
