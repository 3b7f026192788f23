use super::*;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
  /// The key.
  pub key: Key,
  /// The store's revision that last wrote the key.
  pub revision: Revision,
  /// The value.
  pub value: Value,
}
