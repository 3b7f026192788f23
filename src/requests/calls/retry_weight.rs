/// How much work a retry saves: when a call fails, so does the run that needs it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryWeight {
  /// A request of a caller, of which nothing ran yet.
  #[default]
  Fresh,
  /// A call of a running request.
  Call,
  /// A call of a running request that already made other calls with success, so that more of its
  /// work is done and less can still fail.
  LaterCall,
}

impl RetryWeight {
  /// Returns the weight of a request. `is_call` tells that a running request needs it, and
  /// `calls_done` how many calls of that one ended well.
  pub fn of(is_call: bool, calls_done: u32) -> Self {
    match (is_call, calls_done) {
      (false, _) => Self::Fresh,
      (true, 0) => Self::Call,
      (true, _) => Self::LaterCall,
    }
  }
}
