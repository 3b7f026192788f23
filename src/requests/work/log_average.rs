use super::*;

/// Moving mean and variance of the natural logarithm of a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogAverage {
  count: u32,
  mean: f64,
  variance: f64,
}

impl LogAverage {
  /// Weight of the newest value. The average covers about the last fifty.
  const WEIGHT: f64 = 0.02;
  /// Greatest distance of a value from the mean that counts, in standard deviations: a single run
  /// that hung must not move the mean for long.
  const DEVIATIONS_MAX: f64 = 3.0;
  /// Least standard deviation for this limit, so that the average can follow a route whose runs all
  /// took the same time.
  const DEVIATION_MIN: f64 = 0.2;
  /// Fewest earlier values by which a value is limited, and fewest for an estimate.
  const JUDGED_MIN: u32 = 5;

  /// Adds a time in microseconds.
  #[allow(clippy::cast_precision_loss)]
  pub fn add(&mut self, time_us: u64) {
    let mut distance = (time_us.max(1) as f64).ln() - self.mean;
    if self.count >= Self::JUDGED_MIN {
      let bound = Self::DEVIATIONS_MAX * self.variance.sqrt().max(Self::DEVIATION_MIN);
      distance = distance.clamp(-bound, bound);
    }
    self.count = self.count.saturating_add(1);
    let weight = (1.0 / f64::from(self.count)).max(Self::WEIGHT);
    self.mean += weight * distance;
    self.variance = (1.0 - weight) * (self.variance + weight * distance * distance);
  }

  /// Returns how many values were added.
  pub fn count(&self) -> u32 {
    self.count
  }

  /// Returns the distribution of the times; `None` while too few are known.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn estimate(&self) -> Option<RunEstimate> {
    const PERCENT: f64 = 100.0;
    (self.count >= Self::JUDGED_MIN).then(|| {
      let spread_percent = (self.variance.sqrt() * PERCENT).round() as u32;
      RunEstimate::new(self.mean.exp() as u64, spread_percent)
    })
  }
}
