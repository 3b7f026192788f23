use super::*;

/// An entry of the directory that cannot be read because another writer left it there. It names no
/// backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableEntry {
  /// The key of the entry.
  pub key: Key,
  /// Why the entry cannot be read.
  pub reason: String,
  /// The revision at which it was written; 0 if unknown.
  pub revision: Revision,
}

impl Display for UnreadableEntry {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    let Self { key, reason, revision } = self;
    write!(
      f,
      "the entry {key} of revision {revision} cannot be read, and names no backend server: {reason}"
    )
  }
}
