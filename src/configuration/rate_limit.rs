use super::*;

/// A bound on requests, counted over the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
  /// Requests beyond the rate that may come at once.
  pub burst: u64,
  /// Requests that may come for as long as one likes. Above zero.
  pub rate: Rate,
}

impl Display for RateLimit {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{} and {} at once", self.rate, self.burst)
  }
}
