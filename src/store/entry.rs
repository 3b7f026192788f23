use super::*;

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
  /// The key.
  pub key: Key,
  /// The store's revision of the last write of the key.
  pub revision: Revision,
  /// The value.
  pub value: Value,
}
