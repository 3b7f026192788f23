/// How much a retry saves: a lost call takes the work of the run that needs it along.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryWeight {
  /// A request of a caller, of which nothing ran yet.
  #[default]
  Fresh,
  /// A call of a running request.
  Call,
  /// A call of a running request of which other calls ended well, so that more of its work is done
  /// and less can still fail.
  LaterCall,
}

impl RetryWeight {
  /// Returns the weight of a request, if a running one needs it of which `calls_done` calls ended
  /// well.
  pub fn of(is_call: bool, calls_done: u32) -> Self {
    match (is_call, calls_done) {
      (false, _) => Self::Fresh,
      (true, 0) => Self::Call,
      (true, _) => Self::LaterCall,
    }
  }
}
