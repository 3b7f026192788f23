/// A least-squares line through measured points.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
  /// The value of the line at `x` = 0.
  pub intercept: f64,
  /// The largest vertical distance of a point from the line.
  pub residual_max: f64,
  /// The change of the value per unit of `x`.
  pub slope: f64,
}

impl LinearFit {
  /// Fits a line to points `(x, y)`. The slope is zero unless two points differ in `x`.
  #[allow(clippy::cast_precision_loss)]
  pub fn of(points: &[(f64, f64)]) -> Self {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
    let residual_max = points.iter().map(distance).fold(0.0, f64::max);
    Self { intercept, residual_max, slope }
  }

  /// Returns the value of the line at `x`.
  pub fn at(&self, x: f64) -> f64 {
    self.intercept + self.slope * x
  }
}
