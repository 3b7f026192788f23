use super::*;

/// A change of a key, reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Event {
  /// The new entry, or `None` if the key was deleted.
  pub entry: Option<Entry>,
  /// The key.
  pub key: Key,
  /// The store's revision of the change.
  pub revision: Revision,
}
