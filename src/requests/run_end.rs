/// How a run of a request at the backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
  /// The connection broke before the answer was complete.
  Broken,
  /// The run was cancelled, or the backend server rejected the request.
  GivenUp,
  /// The answer was complete.
  Whole,
}
