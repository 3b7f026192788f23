use super::*;

use hdrhistogram::Histogram;

/// The outcome of a load.
pub struct LoadResult {
  /// Requests that failed or were not answered with status 200.
  pub failed: u64,
  /// Latency of answered requests in microseconds, from the scheduled send time to the complete
  /// response.
  pub latency_us: Histogram<u64>,
  /// Duration of the load in seconds.
  pub seconds: f64,
}

impl LoadResult {
  /// Creates an empty result.
  pub fn new() -> Self {
    let latency_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    Self { failed: 0, latency_us, seconds: 0.0 }
  }

  /// Records one request.
  pub fn record(&mut self, latency: Duration, is_answered: bool) {
    if is_answered {
      let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
      self.latency_us.saturating_record(us.max(1));
    } else {
      self.failed += 1;
    }
  }

  /// Adds the result of another thread.
  pub fn merge(&mut self, other: &Self) {
    self.failed += other.failed;
    self.latency_us.add(&other.latency_us).expect("the bounds are equal");
    self.seconds = self.seconds.max(other.seconds);
  }

  /// Returns the latency at `quantile` (0 to 1), in milliseconds.
  #[allow(clippy::cast_precision_loss)]
  pub fn quantile_ms(&self, quantile: f64) -> f64 {
    self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
  }

  /// Returns the answered requests per second.
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
