/// What a request has to lose by the choice of its backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stakes {
  /// Bytes that its answer is expected to have.
  pub answer_bytes: u64,
  /// Bytes of the request's body, as far as known.
  pub body_bytes: u64,
  /// Milliseconds until its answer should be there.
  pub due_ms: u64,
  /// Whether it may run again where its first run fails.
  pub repeatable: bool,
}
