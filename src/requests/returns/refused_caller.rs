use super::*;

/// A refused caller that should come back when there is room.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller {
  /// Milliseconds until its answer is due.
  pub due_ms: u64,
  /// The rank of its request, 0 first.
  pub priority: u32,
  /// Its time, as it is without a schedule.
  pub time: ReturnTime,
  /// Microseconds that its run is expected to take.
  pub work_us: u64,
}

impl RefusedCaller {
  /// Microseconds of work assumed of a request of which nothing is known.
  const WORK_UNKNOWN_US: u64 = 100_000;

  /// Returns the microseconds of work that count for a request.
  pub fn work_us_of(estimate: Option<RunEstimate>) -> u64 {
    estimate.map_or(Self::WORK_UNKNOWN_US, |estimate| estimate.usual_us)
  }

  /// Whether the answer is too late if the caller comes back in `after_ms`. By then its request may
  /// not queue.
  pub fn is_overdue_in(&self, after_ms: u64) -> bool {
    let wait_ms = self.time.wait_ms.unwrap_or_default();
    after_ms + wait_ms + self.work_us / 1_000 >= self.due_ms
  }
}
