use super::*;

/// One change of a key, as a watch reports it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Event {
  /// The new entry; nothing where the key was deleted.
  pub entry: Option<Entry>,
  /// The key.
  pub key: Key,
  /// The store's revision that made the change.
  pub revision: Revision,
}
