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

  /// Returns how long something usually takes that takes `took_us` microseconds here.
  pub fn remove(self, took_us: u64) -> u64 {
    took_us.saturating_mul(100) / u64::from(self.0)
  }

  /// Returns the natural logarithm of the factor; 0 is as long as usual.
  pub fn ln(self) -> f64 {
    (f64::from(self.0) / 100.0).ln()
  }

  /// Creates a slowdown from the natural logarithm of its factor.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn from_ln(ln: f64) -> Self {
    Self::from_percent((ln.exp() * 100.0).round() as u32)
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
