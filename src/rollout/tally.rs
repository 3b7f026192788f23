use super::*;

/// What answers of backend servers came to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Tally {
  /// Answers, and runs that ended without one.
  #[serde(rename = "a")]
  pub answers: u32,
  /// Those of them that failed by the backend server's own fault.
  #[serde(rename = "f")]
  pub failures: u32,
  /// Runs whose time counts, by the power of two that their milliseconds reach.
  #[serde(rename = "t")]
  pub times: [u32; Self::POWERS],
}

impl Tally {
  /// Powers of two that are told apart: up to 8 s, as long as callers wait.
  pub const POWERS: usize = 14;

  /// Adds a run of the backend server.
  pub fn add(&mut self, failed: bool, took_ms: Option<u64>) {
    self.answers = self.answers.saturating_add(1);
    self.failures = self.failures.saturating_add(u32::from(failed));
    if let Some(took_ms) = took_ms {
      let power = took_ms.max(1).ilog2() as usize;
      self.times[power.min(Self::POWERS - 1)] += 1;
    }
  }

  /// The share of answers that failed; 0 of none.
  pub fn failure_share(&self) -> f64 {
    f64::from(self.failures) / f64::from(self.answers.max(1))
  }

  /// Runs whose time counts.
  pub fn timed(&self) -> u32 {
    self.times.iter().sum()
  }

  /// Runs that took at least a power of two.
  pub fn slow(&self, power: usize) -> u32 {
    self.times.iter().skip(power).sum()
  }

  /// The share of timed runs that took at least a power of two; 0 of none.
  pub fn slow_share(&self, power: usize) -> f64 {
    f64::from(self.slow(power)) / f64::from(self.timed().max(1))
  }

  /// The mean power of two that runs reach; 0 of none. Times spread by factors, so their powers can be compared.
  pub fn mean_power(&self) -> f64 {
    let powers = (0u32..).zip(&self.times).map(|(power, runs)| f64::from(power) * f64::from(*runs));
    powers.sum::<f64>() / f64::from(self.timed().max(1))
  }

  /// What came since an earlier count.
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
