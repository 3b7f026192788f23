use super::*;

/// How an attempt at a backend server ended, as reported to the balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
  /// The connection broke or the attempt timed out.
  Failed,
  /// The backend server answered.
  Served {
    /// The condition that its daemon reported, if any.
    condition: Option<Condition>,
    /// Microseconds until the answer's head came; `None` where this process was paused meanwhile.
    latency_us: Option<u64>,
  },
  /// The box refused the request without running it.
  Shed {
    /// The condition that its daemon reported, if any.
    condition: Option<Condition>,
  },
  /// No connection could be opened.
  Unreachable,
}
