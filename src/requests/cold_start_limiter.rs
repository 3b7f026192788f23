use super::*;

/// Limits the requests that a cold backend server gets in any second to its warm-up rate.
///
/// The limit is applied by the daemon beside the backend server. Every request passes that daemon,
/// so the limit holds whichever daemons send.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
  /// When requests were passed to the backend server within the last second, oldest first.
  passed: VecDeque<Time>,
}

impl ColdStartLimiter {
  /// Length in milliseconds of the sliding window in which requests are counted.
  const WINDOW_MS: u64 = 1_000;
  /// Most requests remembered: no cold backend server takes more in a second.
  const PASSED_MAX: usize = 4_096;

  /// Records a request that is passed to the backend server. Also called while it is warm, for it
  /// may become cold at any time.
  pub fn record_passed(&mut self, now: Time) {
    self.expire(now);
    if self.passed.len() < Self::PASSED_MAX {
      self.passed.push_back(now);
    }
  }

  /// Returns the milliseconds until a cold backend server takes another request; 0 where it takes
  /// one now.
  pub fn wait_ms(&mut self, now: Time, rate: Rate) -> u64 {
    self.expire(now);
    let limit = Self::limit(rate);
    let Some(surplus) = self.passed.len().checked_sub(limit) else {
      return 0;
    };
    let leaves_at = self.passed[surplus].after(Self::WINDOW_MS);
    leaves_at.since_ms(now).max(1)
  }

  /// Returns the load of a cold backend server, in percent of the requests that it takes in a
  /// second.
  pub fn load_percent(&mut self, now: Time, rate: Rate) -> u32 {
    self.expire(now);
    u32::try_from(self.passed.len() * 100 / Self::limit(rate)).unwrap_or(u32::MAX)
  }

  fn expire(&mut self, now: Time) {
    let is_old = |at: &Time| now.since_ms(*at) >= Self::WINDOW_MS;
    while self.passed.front().is_some_and(is_old) {
      self.passed.pop_front();
    }
  }

  /// Returns the requests allowed in a second: at least one, or the backend server would never warm
  /// up.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn limit(rate: Rate) -> usize {
    (rate.requests_per_s() as usize).max(1)
  }
}
