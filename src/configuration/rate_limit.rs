use super::*;

/// A limit on requests over the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
  /// Requests that may arrive at once beyond the rate.
  pub burst: u64,
  /// The sustained request rate. Above zero.
  pub rate: Rate,
}

impl Display for RateLimit {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{} and {} at once", self.rate, self.burst)
  }
}
