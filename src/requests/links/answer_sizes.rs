use super::*;

/// Estimates the size of each route's answers by a moving average.
#[derive(Clone, Debug, Default)]
pub struct AnswerSizes {
  mean_bytes: BTreeMap<RouteName, f64>,
}

impl AnswerSizes {
  /// Assumed size in bytes before the first answer of a route: a small page.
  const UNKNOWN_BYTES: u64 = 1_500;
  /// Weight of the newest answer in the average, which so covers about the last twenty.
  const WEIGHT: f64 = 0.05;

  /// Adds an answer of `bytes` to its route's average.
  #[allow(clippy::cast_precision_loss)]
  pub fn note(&mut self, route: &RouteName, bytes: u64) {
    let bytes = bytes as f64;
    match self.mean_bytes.get_mut(route) {
      Some(mean) => *mean += Self::WEIGHT * (bytes - *mean),
      None => {
        self.mean_bytes.insert(route.clone(), bytes);
      }
    }
  }

  /// Returns the expected size, in bytes, of the route's next answer.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn expected_bytes(&self, route: &RouteName) -> u64 {
    self.mean_bytes.get(route).map_or(Self::UNKNOWN_BYTES, |mean| *mean as u64)
  }

  /// Drops routes that no longer exist.
  pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
    self.mean_bytes.retain(|route, _| is_known(route));
  }
}
