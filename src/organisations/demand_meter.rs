use super::*;

/// An exponentially decaying average of the request rate over the last few seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
  at: Time,
  per_s: f64,
}

impl DemandMeter {
  /// The decay time: after this many milliseconds a request counts about a third (1/e).
  const DECAY_MS: f64 = 1_000.0;

  /// Records requests that arrive at `now`.
  #[allow(clippy::cast_precision_loss)]
  pub fn record(&mut self, now: Time, requests: u64) {
    self.per_s = self.per_s(now) + requests as f64 * 1_000.0 / Self::DECAY_MS;
    self.at = now;
  }

  /// The rate in requests per second at `now`.
  #[allow(clippy::cast_precision_loss)]
  pub fn per_s(&self, now: Time) -> f64 {
    self.per_s * (-(now.since_ms(self.at) as f64) / Self::DECAY_MS).exp()
  }
}
