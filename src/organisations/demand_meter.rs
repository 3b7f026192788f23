use super::*;

/// How many requests come a second, by the last few seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
  at: Time,
  per_s: f64,
}

impl DemandMeter {
  /// Milliseconds after which a request counts a third of what it did.
  const MEMORY_MS: f64 = 1_000.0;

  /// So many requests come.
  #[allow(clippy::cast_precision_loss)]
  pub fn note(&mut self, now: Time, requests: u64) {
    self.per_s = self.per_s(now) + requests as f64 * 1_000.0 / Self::MEMORY_MS;
    self.at = now;
  }

  /// Requests a second.
  #[allow(clippy::cast_precision_loss)]
  pub fn per_s(&self, now: Time) -> f64 {
    self.per_s * (-(now.since_ms(self.at) as f64) / Self::MEMORY_MS).exp()
  }
}
