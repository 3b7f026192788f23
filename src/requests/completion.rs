/// How a try at a backend server ended, for the balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
  /// It could not be reached, broke, or took too long.
  Failed,
  /// It answered after so many microseconds, at a load in percent of its slots where it said so.
  Served {
    /// Microseconds to the head of the answer.
    latency_us: u64,
    /// Requests running and waiting there, in percent of its slots.
    load_percent: Option<u32>,
  },
  /// It refused the request unrun, for it is full.
  Shed,
}
