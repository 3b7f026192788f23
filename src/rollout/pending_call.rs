use super::*;

/// A store call in progress for a rollout.
#[derive(Clone, Debug)]
pub(super) enum PendingCall {
  /// Reads the stored record.
  Read,
  /// Writes this record.
  Write(Record),
}
