/// How the run of a request at the backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
  /// The connection broke before the whole answer had come.
  Broken,
  /// Nobody waited for it any more, or the backend server rejected it.
  GivenUp,
  /// The whole answer came.
  Whole,
}
