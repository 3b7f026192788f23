/// Measured values, kept sorted.
#[derive(Clone, Debug, Default)]
pub struct Sample {
  values: Vec<f64>,
}

impl Sample {
  /// Adds a value.
  pub fn add(&mut self, value: f64) {
    let at = self.values.partition_point(|known| *known < value);
    self.values.insert(at, value);
  }

  /// Returns the number of values.
  pub fn count(&self) -> usize {
    self.values.len()
  }

  /// Returns the value at `quantile` (0 to 1); zero if there are no values.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn quantile(&self, quantile: f64) -> f64 {
    let last = self.values.len().saturating_sub(1);
    let index = (quantile * last as f64).ceil() as usize;
    self.values.get(index.min(last)).copied().unwrap_or(0.0)
  }

  /// Returns the largest value; zero if there are no values.
  pub fn max(&self) -> f64 {
    self.quantile(1.0)
  }

  /// Returns the median; zero if there are no values.
  pub fn median(&self) -> f64 {
    self.quantile(0.5)
  }

  /// Returns the minimum, median and maximum as a JSON object.
  pub fn spread(&self) -> serde_json::Value {
    serde_json::json!({
      "max": self.max(), "median": self.median(), "min": self.quantile(0.0),
    })
  }

  /// Returns the sum of all values.
  pub fn sum(&self) -> f64 {
    self.values.iter().sum()
  }
}

impl FromIterator<f64> for Sample {
  fn from_iter<I: IntoIterator<Item = f64>>(values: I) -> Self {
    let mut sample = Self::default();
    values.into_iter().for_each(|value| sample.add(value));
    sample
  }
}
