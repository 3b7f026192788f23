use super::*;

/// The properties of a request on which the choice of its backend server depends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectionCriteria {
  /// Expected bytes of its answer.
  pub answer_bytes: u64,
  /// Bytes of its body, as far as known.
  pub body_bytes: u64,
  /// Milliseconds until its answer is due.
  pub due_ms: u64,
  /// The box that already has its large body, if any. For a backend server on any other box, the
  /// body has to cross network links.
  pub near_box: Option<BoxId>,
  /// Whether it may run again if its first run fails.
  pub repeatable: bool,
}
