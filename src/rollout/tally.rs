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
  /// Thousandths of the natural logarithms of the milliseconds that timed runs took, added up. Times spread by
  /// factors, so that their logarithms can be compared by their means.
  #[serde(rename = "l")]
  pub log_times: u64,
  /// Runs whose time counts.
  #[serde(rename = "t")]
  pub timed: u32,
}

impl Tally {
  /// Adds a run of the backend server.
  pub fn add(&mut self, failed: bool, took_ms: Option<f64>) {
    self.answers = self.answers.saturating_add(1);
    self.failures = self.failures.saturating_add(u32::from(failed));
    let Some(took_ms) = took_ms else {
      return;
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let thousandths = (took_ms.max(1.0).ln() * 1_000.0) as u64;
    self.log_times += thousandths;
    self.timed = self.timed.saturating_add(1);
  }

  /// The share of answers that failed; 0 of none.
  pub fn failure_share(&self) -> f64 {
    f64::from(self.failures) / f64::from(self.answers.max(1))
  }

  /// The mean logarithm of the milliseconds that a run takes; nothing where none was timed.
  pub fn mean_log(&self) -> Option<f64> {
    #[allow(clippy::cast_precision_loss)]
    let sum = self.log_times as f64 / 1_000.0;
    (self.timed > 0).then(|| sum / f64::from(self.timed))
  }

  /// What came since an earlier count.
  #[must_use]
  pub fn since(&self, earlier: &Self) -> Self {
    Self {
      answers: self.answers.saturating_sub(earlier.answers),
      failures: self.failures.saturating_sub(earlier.failures),
      log_times: self.log_times.saturating_sub(earlier.log_times),
      timed: self.timed.saturating_sub(earlier.timed),
    }
  }
}

impl std::ops::AddAssign for Tally {
  fn add_assign(&mut self, other: Self) {
    self.answers = self.answers.saturating_add(other.answers);
    self.failures = self.failures.saturating_add(other.failures);
    self.log_times = self.log_times.saturating_add(other.log_times);
    self.timed = self.timed.saturating_add(other.timed);
  }
}
