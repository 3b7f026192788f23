use super::*;

/// How large the answers of each route are, by those that came lately.
#[derive(Clone, Debug, Default)]
pub struct AnswerSizes {
  mean_bytes: BTreeMap<RouteName, f64>,
}

impl AnswerSizes {
  /// Bytes that an answer is taken to have before the first one of its route came: a small page.
  const UNKNOWN_BYTES: u64 = 1_500;
  /// Weight of the newest answer in the average: about the last twenty count.
  const WEIGHT: f64 = 0.05;

  /// An answer of `bytes` came.
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

  /// Bytes that the next answer of a route is expected to have.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn expected_bytes(&self, route: &RouteName) -> u64 {
    self.mean_bytes.get(route).map_or(Self::UNKNOWN_BYTES, |mean| *mean as u64)
  }

  /// Forgets routes that are gone.
  pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
    self.mean_bytes.retain(|route, _| is_known(route));
  }
}
