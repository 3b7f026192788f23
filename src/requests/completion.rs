use super::*;

/// How a try at a backend server ended, for the balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
  /// The connection broke, or it took too long.
  Failed,
  /// It answered.
  Served {
    /// What its daemon says of it, where it said something.
    condition: Option<Condition>,
    /// Microseconds to the head of the answer; nothing where this process stood still meanwhile.
    latency_us: Option<u64>,
  },
  /// It refused the request unrun.
  Shed {
    /// What its daemon says of it, where it said something.
    condition: Option<Condition>,
  },
  /// No connection to it came up.
  Unreachable,
}
