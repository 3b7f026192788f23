use super::*;

/// What a request asks of the limiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
  /// The class of its caller.
  pub class: CallerClass,
  /// When its answer should be there.
  pub due: Time,
  /// Until when it is worth waiting for a slot.
  pub patience: Time,
  /// Its rank, 0 first.
  pub priority: u32,
}

impl Demand {
  /// A request without rank that waits as long as it may.
  pub fn new(class: CallerClass, deadline: Time) -> Self {
    Self { class, due: deadline, patience: deadline, priority: 0 }
  }
}
