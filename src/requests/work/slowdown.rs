use super::*;

/// How long work takes at a backend server relative to the usual one of its service, in percent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Slowdown(u32);

impl Slowdown {
  /// As long as usual.
  pub const NONE: Self = Self(100);

  /// Creates a slowdown, limited to what a backend server that serves at all can have.
  pub fn from_percent(percent: u32) -> Self {
    const PERCENT_MIN: u32 = 5;
    const PERCENT_MAX: u32 = 5_000;
    Self(percent.clamp(PERCENT_MIN, PERCENT_MAX))
  }

  /// Returns the percentage; 100 is as long as usual.
  pub fn percent(self) -> u32 {
    self.0
  }

  /// Returns how long something takes here that usually takes `usual_us` microseconds.
  pub fn apply(self, usual_us: u64) -> u64 {
    usual_us.saturating_mul(u64::from(self.0)) / 100
  }
}

impl Default for Slowdown {
  fn default() -> Self {
    Self::NONE
  }
}

impl Display for Slowdown {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}", self.0)
  }
}

impl FromStr for Slowdown {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let percent =
      text.parse().map_err(|_| Self::Err::Number { found: text.into(), kind: "slowdown" })?;
    Ok(Self::from_percent(percent))
  }
}
