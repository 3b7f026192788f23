use super::*;

/// What is known of a service's record in the store.
#[derive(Clone, Debug, Default)]
pub(super) enum Stored {
  /// It holds none.
  Absent,
  /// It holds this one, nothing where it cannot be read, with that revision.
  Present(Option<Record>, Revision),
  /// It has to be read.
  #[default]
  Unknown,
}
