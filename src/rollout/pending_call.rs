use super::*;

/// A call to the store that is under way for a roll-out.
#[derive(Clone, Debug)]
pub(super) enum PendingCall {
  /// What the store holds is read.
  Read,
  /// A record is written.
  Write(Record),
}
