use super::*;

/// How long a run of a request is expected to take, including the calls that it makes.
///
/// Run times of a route are assumed to be log-normally distributed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunEstimate {
  /// Standard deviation of the natural logarithm of the run time, in hundredths.
  pub spread_percent: u32,
  /// Median run time in microseconds; at least 1.
  pub usual_us: u64,
}

impl RunEstimate {
  /// Returns the estimate for a backend server that is slower or faster than usual.
  #[must_use]
  pub fn at(self, slowdown: Slowdown) -> Self {
    Self { usual_us: slowdown.apply(self.usual_us).max(1), ..self }
  }
}

impl Display for RunEstimate {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{},{}", self.usual_us, self.spread_percent)
  }
}

impl FromStr for RunEstimate {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let malformed = || Self::Err::Number { found: text.into(), kind: "run estimate" };
    let (usual_us, spread_percent) = text.split_once(',').ok_or_else(malformed)?;
    Ok(Self {
      spread_percent: spread_percent.parse().map_err(|_| malformed())?,
      usual_us: usual_us.parse().map_err(|_| malformed())?,
    })
  }
}
