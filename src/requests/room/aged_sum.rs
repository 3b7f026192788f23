use super::*;

/// A sum of values that lose weight evenly with their age, up to [`BackendRoom::AGE_MAX_MS`].
///
/// It is exact, so what is added and removed again leaves no error behind. Values must be removed
/// once they are older.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AgedSum {
  /// Sum of the values.
  plain: i128,
  /// Sum of the values times the milliseconds at which they were told.
  timed: i128,
}

impl AgedSum {
  pub fn add(&mut self, value: u64, told_at: Time) {
    self.plain += i128::from(value);
    self.timed += i128::from(value) * i128::from(told_at.0);
  }

  pub fn remove(&mut self, value: u64, told_at: Time) {
    self.plain -= i128::from(value);
    self.timed -= i128::from(value) * i128::from(told_at.0);
  }

  pub fn is_empty(&self) -> bool {
    self.plain == 0
  }

  /// Returns the sum without regard to age.
  #[allow(clippy::cast_precision_loss)]
  pub fn unweighted(&self) -> f64 {
    self.plain as f64
  }

  /// Returns the sum, each value weighted from 1 to 0 by its age.
  #[allow(clippy::cast_precision_loss)]
  pub fn at(&self, now: Time) -> f64 {
    let age_max_ms = i128::from(BackendRoom::AGE_MAX_MS);
    let scaled = self.plain * (age_max_ms - i128::from(now.0)) + self.timed;
    scaled as f64 / age_max_ms as f64
  }
}
