use super::*;

/// Bounds what a cold backend server gets: so many requests in any second as it can take.
///
/// It sits in the daemon beside the backend server, through which every request to it goes; so the bound holds
/// whichever daemons send.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
  /// When requests went to the backend server in the last second, oldest first.
  passed: VecDeque<Time>,
}

impl ColdGate {
  /// Milliseconds of the window over which requests are counted.
  const WINDOW_MS: u64 = 1_000;
  /// Requests that are remembered: no backend server takes more in a second while it is cold.
  const PASSED_MAX: usize = 4_096;

  /// A request goes to the backend server, cold or not: it may turn cold at any moment.
  pub fn pass(&mut self, now: Time) {
    self.forget(now);
    if self.passed.len() < Self::PASSED_MAX {
      self.passed.push_back(now);
    }
  }

  /// Milliseconds until a cold backend server takes another request; 0 where it does now.
  pub fn wait_ms(&mut self, now: Time, rate: Rate) -> u64 {
    self.forget(now);
    let most = Self::most(rate);
    let Some(surplus) = self.passed.len().checked_sub(most) else {
      return 0;
    };
    let leaves_at = self.passed[surplus].after(Self::WINDOW_MS);
    leaves_at.since_ms(now).max(1)
  }

  /// How full a cold backend server is, in percent of what it takes in a second.
  pub fn load_percent(&mut self, now: Time, rate: Rate) -> u32 {
    self.forget(now);
    u32::try_from(self.passed.len() * 100 / Self::most(rate)).unwrap_or(u32::MAX)
  }

  fn forget(&mut self, now: Time) {
    let is_old = |at: &Time| now.since_ms(*at) >= Self::WINDOW_MS;
    while self.passed.front().is_some_and(is_old) {
      self.passed.pop_front();
    }
  }

  /// Requests in a second; one at least, or it would never warm up.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn most(rate: Rate) -> usize {
    (rate.requests_per_s() as usize).max(1)
  }
}
