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
  /// Largest spread: runs of a route then differ by more than any target can take account of.
  const SPREAD_MAX_PERCENT: u32 = 200;
  /// Longest run that is assumed, in microseconds.
  const USUAL_MAX_US: u64 = 600_000_000;

  /// Creates an estimate, limited to what a run can be expected to take.
  #[must_use]
  pub fn new(usual_us: u64, spread_percent: u32) -> Self {
    Self {
      spread_percent: spread_percent.min(Self::SPREAD_MAX_PERCENT),
      usual_us: usual_us.clamp(1, Self::USUAL_MAX_US),
    }
  }

  /// Returns the chance that a run takes `left_us` microseconds at most.
  #[must_use]
  #[allow(clippy::cast_precision_loss)]
  pub fn chance_within(self, left_us: u64) -> f64 {
    if left_us == 0 {
      return 0.0;
    }
    normal_share((left_us as f64 / self.usual_us as f64).ln() / self.deviation())
  }

  /// Returns the mean run time in milliseconds, which exceeds the median.
  #[must_use]
  #[allow(clippy::cast_precision_loss)]
  pub fn mean_ms(self) -> f64 {
    self.usual_us as f64 / 1_000.0 * (self.deviation().powi(2) / 2.0).exp()
  }

  /// Returns the mean run time in whole milliseconds.
  #[must_use]
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn mean_ms_rounded(self) -> u64 {
    self.mean_ms().ceil() as u64
  }

  /// Standard deviation of the logarithm. Even equal runs differ a little, by the time that the
  /// daemons add.
  fn deviation(self) -> f64 {
    const DEVIATION_MIN: f64 = 0.05;
    (f64::from(self.spread_percent) / 100.0).max(DEVIATION_MIN)
  }

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
    let spread_percent = spread_percent.parse().map_err(|_| malformed())?;
    Ok(Self::new(usual_us.parse().map_err(|_| malformed())?, spread_percent))
  }
}

/// Returns the share of a normal distribution below a number of standard deviations, to about one
/// part in ten thousand.
fn normal_share(deviations: f64) -> f64 {
  let odds = 0.07056 * deviations.powi(3) + 1.5976 * deviations;
  1.0 / (1.0 + (-odds).exp())
}
