use super::*;

/// An entry of the directory that cannot be read, for another writer left it there. It names no backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableEntry {
  /// Where it stands.
  pub key: Key,
  /// What is wrong with it.
  pub reason: String,
  /// The revision that wrote it; 0 where it names none.
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
