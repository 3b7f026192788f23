use super::*;

use serde_json::value::RawValue;

/// The fields of a JSON object, each parsed on access.
///
/// Items of other writers may lack fields or hold fields of a wrong type or deeply nested ones.
/// Because each field is parsed on its own, a malformed one doesn't affect the others.
pub(super) struct Fields<'a>(BTreeMap<String, &'a RawValue>);

impl<'a> Fields<'a> {
  /// Splits the JSON object `text` into its fields.
  pub(super) fn of(text: &'a str) -> Result<Self, String> {
    serde_json::from_str(text).map(Self).map_err(|err| err.to_string())
  }

  /// Parses a required field.
  pub(super) fn get<T: Deserialize<'a>>(&self, name: &str) -> Result<T, String> {
    let raw = self.0.get(name).ok_or_else(|| format!("`{name}` is missing"))?;
    serde_json::from_str(raw.get()).map_err(|err| format!("`{name}`: {err}"))
  }

  /// Parses an optional field.
  pub(super) fn find<T: Deserialize<'a>>(&self, name: &str) -> Result<Option<T>, String> {
    if self.0.contains_key(name) { self.get(name).map(Some) } else { Ok(None) }
  }

  /// Parses a field that holds a list of items.
  pub(super) fn items(&self, name: &str) -> Result<Vec<Item>, String> {
    let items: Vec<&'a RawValue> = self.get(name)?;
    Ok(items.into_iter().map(|item| Item::read(item.get())).collect())
  }
}
