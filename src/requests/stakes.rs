use super::*;

/// What a request has to lose by the choice of its backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stakes {
  /// Bytes that its answer is expected to have.
  pub answer_bytes: u64,
  /// Bytes of the request's body, as far as known.
  pub body_bytes: u64,
  /// Milliseconds until its answer should be there.
  pub due_ms: u64,
  /// The box at which its large body is already, where that runs its service: everywhere else the body has to
  /// cross links first.
  pub near_box: Option<BoxId>,
  /// Whether it may run again where its first run fails.
  pub repeatable: bool,
}
