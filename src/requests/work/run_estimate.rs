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
  /// Chance to be in time below which a run is not expected to be.
  const IN_TIME_CHANCE: f64 = 0.3;
  /// Standard deviations from the median at which [`Self::IN_TIME_CHANCE`] of the runs have ended.
  const IN_TIME_DEVIATIONS: f64 = -0.52;
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

  /// Returns whether a run with `left_ms` milliseconds to go is unlikely to be in time at this
  /// slowdown, and would be likelier by half at the usual backend server.
  #[must_use]
  pub fn is_better_elsewhere(self, left_ms: u64, slowdown: Slowdown) -> bool {
    const BETTER: f64 = 1.5;
    let left_us = left_ms.saturating_mul(1_000);
    let here = self.at(slowdown).chance_within(left_us);
    here < Self::IN_TIME_CHANCE && self.chance_within(left_us) > here * BETTER
  }

  /// Returns the milliseconds that must be left for a run that starts now to be in time with
  /// reasonable chance.
  #[must_use]
  pub fn needed_ms(self) -> f64 {
    self.ms_at(Self::IN_TIME_DEVIATIONS)
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

  /// Returns the milliseconds within which a run ends that is `deviations` standard deviations
  /// longer than usual.
  #[must_use]
  #[allow(clippy::cast_precision_loss)]
  pub fn ms_at(self, deviations: f64) -> f64 {
    self.usual_us as f64 / 1_000.0 * (deviations * self.deviation()).exp()
  }

  /// Standard deviation of the logarithm. Equal runs still differ by what the daemons add.
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
