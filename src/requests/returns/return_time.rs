use super::urgency::fraction_of;

/// When a caller whose service is full should come back.
#[derive(Clone, Copy, Debug)]
pub struct ReturnTime {
  /// Milliseconds that the caller has left.
  pub left_ms: u64,
  /// Milliseconds until this box expects the service to have room; `None` where it doesn't know.
  pub wait_ms: Option<u64>,
}

impl ReturnTime {
  /// The fraction of their remaining time that callers wait at most.
  const LEFT_FRACTION: f64 = 0.33;
  /// The fraction of the wait over which the returns of callers that were refused together are
  /// spread, so that they come as slots become free.
  const SPREAD_FRACTION: f64 = 0.5;
  /// Shortest spread in milliseconds: a few rounds of short runs.
  const SPREAD_MIN_MS: u64 = 20;

  /// Returns the milliseconds after which the caller should come back: once there is room, spread
  /// by `at` from 0 to 1, and at the latest when it comes back by itself. Returns `told_ms` where
  /// no wait is expected or known.
  pub fn retry_after_ms(self, told_ms: u64, at: f64) -> u64 {
    let Some(wait_ms) = self.wait_ms.filter(|wait_ms| *wait_ms > 0) else {
      return told_ms;
    };
    let spread_ms = fraction_of(wait_ms, Self::SPREAD_FRACTION).max(Self::SPREAD_MIN_MS);
    let latest_ms = fraction_of(self.left_ms, Self::LEFT_FRACTION);
    (wait_ms + fraction_of(spread_ms, at)).min(latest_ms.max(1))
  }
}
