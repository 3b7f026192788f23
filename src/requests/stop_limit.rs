use super::*;

/// What a box that stops may still take: only what it can bring to an end.
///
/// Work that goes on when the stop ends would be cut with its caller's connection. So a request that comes during
/// the stop has less time, wherever it goes: boxes that cannot serve it by then refuse it at once as not run, and
/// the backend server knows for how long its answer is wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopLimit {
  /// When the daemon ends, with all that is open.
  pub ends_at: Time,
}

impl StopLimit {
  /// Milliseconds before the end of the stop by which an answer must begin, so that it crosses in time: as long as
  /// answers may wait in front of a link, and as long again for its own bytes.
  const CROSSING_MS: u64 = 500;

  /// By when a request that comes now must be answered, where its caller waits until `deadline`; nothing where it
  /// cannot be taken any more.
  pub fn deadline(&self, now: Time, deadline: Time) -> Option<Time> {
    let answered_by = Time(self.ends_at.0.saturating_sub(Self::CROSSING_MS));
    let deadline = deadline.min(answered_by);
    (deadline > now).then_some(deadline)
  }
}
