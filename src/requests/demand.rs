use super::*;

/// A request for a slot, as the limiter sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
  /// The caller's class.
  pub class: CallerClass,
  /// When the answer should be ready.
  pub due: Time,
  /// Estimated milliseconds since its caller's first try; 0 for a first try.
  pub elapsed_ms: u64,
  /// Whether a running request needs it.
  pub is_call: bool,
  /// Until when to wait for a slot.
  pub wait_until: Time,
  /// Priority; the lowest number is served first.
  pub priority: u32,
}

impl Demand {
  /// Creates a demand of priority 0 that waits for a slot until its deadline.
  pub fn new(class: CallerClass, deadline: Time) -> Self {
    Self { class, due: deadline, elapsed_ms: 0, is_call: false, wait_until: deadline, priority: 0 }
  }
}
