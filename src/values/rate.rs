use super::*;

/// A rate of requests, with a resolution of 0.001 requests a second.
#[derive(
  Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Rate {
  /// Requests in a thousand seconds.
  per_1000_s: u64,
}

impl Rate {
  /// Highest rate in requests a second.
  const PER_S_MAX: f64 = 1e12;

  /// Creates a rate from requests a second; `None` if it is negative, not a number or above 1e12.
  pub fn per_s(requests: f64) -> Option<Self> {
    let is_valid = (0.0..=Self::PER_S_MAX).contains(&requests);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    is_valid.then(|| Self { per_1000_s: (requests * 1_000.0).round() as u64 })
  }

  /// Returns the requests a second.
  #[allow(clippy::cast_precision_loss)]
  pub fn requests_per_s(self) -> f64 {
    self.per_1000_s as f64 / 1_000.0
  }

  /// Returns whether the rate is zero.
  pub fn is_zero(self) -> bool {
    self.per_1000_s == 0
  }
}

impl Display for Rate {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}/s", self.requests_per_s())
  }
}

impl FromStr for Rate {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    let number = text.strip_suffix("/s").unwrap_or(text).parse().ok();
    number.and_then(Self::per_s).ok_or_else(|| Error::Number {
      found: text.chars().take(80).collect(),
      kind: "rate such as `12.5/s`",
    })
  }
}
