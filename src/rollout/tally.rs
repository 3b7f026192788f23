use super::*;

/// Counts of the answers of backend servers: failures and durations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Tally {
  /// Answers, including runs that ended without one.
  #[serde(rename = "a")]
  pub answers: u32,
  /// Answers that failed through the backend server's own fault.
  #[serde(rename = "f")]
  pub failures: u32,
  /// A histogram of timed runs: the bucket is the base-2 logarithm of the milliseconds, rounded down.
  #[serde(rename = "t")]
  pub times: [u32; Self::POWERS],
}

impl Tally {
  /// Histogram buckets. They reach up to 8 s, as long as callers wait.
  pub const POWERS: usize = 14;

  /// Adds a run. `took_ms` is its duration in milliseconds, or `None` if it isn't to be timed.
  pub fn add(&mut self, failed: bool, took_ms: Option<u64>) {
    self.answers = self.answers.saturating_add(1);
    self.failures = self.failures.saturating_add(u32::from(failed));
    if let Some(took_ms) = took_ms {
      let power = took_ms.max(1).ilog2() as usize;
      self.times[power.min(Self::POWERS - 1)] += 1;
    }
  }

  /// The share of answers that failed; 0 without answers.
  pub fn failure_share(&self) -> f64 {
    f64::from(self.failures) / f64::from(self.answers.max(1))
  }

  /// The number of timed runs.
  pub fn timed(&self) -> u32 {
    self.times.iter().sum()
  }

  /// The number of timed runs that took at least `2^power` milliseconds.
  pub fn slow(&self, power: usize) -> u32 {
    self.times.iter().skip(power).sum()
  }

  /// The share of timed runs that took at least `2^power` milliseconds; 0 without timed runs.
  pub fn slow_share(&self, power: usize) -> f64 {
    f64::from(self.slow(power)) / f64::from(self.timed().max(1))
  }

  /// The mean bucket of the timed runs; 0 without timed runs. Durations vary by factors, so logarithms are compared.
  pub fn mean_power(&self) -> f64 {
    let powers = (0u32..).zip(&self.times).map(|(power, runs)| f64::from(power) * f64::from(*runs));
    powers.sum::<f64>() / f64::from(self.timed().max(1))
  }

  /// The counts added since an earlier tally.
  #[must_use]
  pub fn since(&self, earlier: &Self) -> Self {
    Self {
      answers: self.answers.saturating_sub(earlier.answers),
      failures: self.failures.saturating_sub(earlier.failures),
      times: std::array::from_fn(|power| self.times[power].saturating_sub(earlier.times[power])),
    }
  }
}

impl std::ops::AddAssign for Tally {
  fn add_assign(&mut self, other: Self) {
    self.answers = self.answers.saturating_add(other.answers);
    self.failures = self.failures.saturating_add(other.failures);
    for (runs, more) in self.times.iter_mut().zip(other.times) {
      *runs = runs.saturating_add(more);
    }
  }
}
