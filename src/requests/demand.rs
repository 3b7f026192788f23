use super::*;

/// What a request asks of the limiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
  /// The class of its caller.
  pub class: CallerClass,
  /// When its answer is due at the latest.
  pub deadline: Time,
  /// Its rank, 0 first.
  pub priority: u32,
  /// Milliseconds within which its caller expects an answer; until the deadline where absent.
  pub target_ms: Option<u64>,
}

impl Demand {
  /// A request without rank or target.
  pub fn new(class: CallerClass, deadline: Time) -> Self {
    Self { class, deadline, priority: 0, target_ms: None }
  }
}
