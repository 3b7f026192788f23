/// How a run of a request at the backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
  /// The run was cancelled, or the backend server rejected the request.
  Cancelled,
  /// The answer was complete.
  Completed,
  /// The connection broke before the answer was complete.
  ConnectionLost,
  /// No connection could be opened, so the request was not sent.
  Unsent,
}
