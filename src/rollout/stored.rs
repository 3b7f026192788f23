use super::*;

/// What this box knows of a service's record in the store.
#[derive(Clone, Debug, Default)]
pub(super) enum Stored {
  /// The store holds no record.
  Absent,
  /// The store holds this record, or `None` if it can't be decoded, at this revision.
  Present(Option<Record>, Revision),
  /// The record must be read.
  #[default]
  Unknown,
}
