use super::*;

/// Limits the requests that a box accepts during a planned stop to those it can complete.
///
/// Requests that are unfinished when the stop ends lose their caller's connection. So a request
/// that arrives during the stop gets an earlier deadline: boxes that can't serve it by then refuse
/// it at once as not run, and the backend server knows how long its answer is wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopLimit {
  /// When the daemon exits and closes all connections.
  pub ends_at: Time,
}

impl StopLimit {
  /// Milliseconds before the end of the stop by which an answer must begin: the longest time that
  /// answers queue in front of a link, and as long again to send its own bytes.
  const CROSSING_MS: u64 = 500;

  /// Returns the deadline of a request that arrives now and whose caller waits until `deadline`, or
  /// `None` if it is too late to accept it.
  pub fn deadline(&self, now: Time, deadline: Time) -> Option<Time> {
    let answered_by = Time(self.ends_at.0.saturating_sub(Self::CROSSING_MS));
    let deadline = deadline.min(answered_by);
    (deadline > now).then_some(deadline)
  }
}
