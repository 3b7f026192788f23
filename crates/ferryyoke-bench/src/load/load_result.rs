use super::*;

use hdrhistogram::Histogram;

/// What a load met.
pub struct LoadResult {
  /// Requests that failed or were refused.
  pub failed: u64,
  /// Microseconds from when each answered request was due until its answer was whole.
  pub latency_us: Histogram<u64>,
  /// Seconds that the load took.
  pub seconds: f64,
}

impl LoadResult {
  /// Nothing yet.
  pub fn new() -> Self {
    let latency_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("sane bounds");
    Self { failed: 0, latency_us, seconds: 0.0 }
  }

  /// Counts one request.
  pub fn note(&mut self, latency: Duration, is_answered: bool) {
    if is_answered {
      let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
      self.latency_us.saturating_record(us.max(1));
    } else {
      self.failed += 1;
    }
  }

  /// Adds what another thread met.
  pub fn merge(&mut self, other: &Self) {
    self.failed += other.failed;
    self.latency_us.add(&other.latency_us).expect("equal bounds");
    self.seconds = self.seconds.max(other.seconds);
  }

  /// Milliseconds below which the share `quantile` of the answers came.
  #[allow(clippy::cast_precision_loss)]
  pub fn quantile_ms(&self, quantile: f64) -> f64 {
    self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
  }

  /// Answered requests a second.
  #[allow(clippy::cast_precision_loss)]
  pub fn per_second(&self) -> f64 {
    self.latency_us.len() as f64 / self.seconds.max(0.001)
  }
}

impl Default for LoadResult {
  fn default() -> Self {
    Self::new()
  }
}
