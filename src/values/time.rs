use super::*;

/// A point on a daemon's monotonic clock, in milliseconds since the daemon started.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Time(pub u64);

impl Time {
  /// Returns the time `duration_ms` milliseconds later.
  #[must_use]
  pub fn after(self, duration_ms: u64) -> Self {
    Self(self.0.saturating_add(duration_ms))
  }

  /// Returns the milliseconds from `earlier` to this time; zero if `earlier` is later.
  pub fn since_ms(self, earlier: Self) -> u64 {
    self.0.saturating_sub(earlier.0)
  }
}

impl Display for Time {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{} ms", self.0)
  }
}

impl FromStr for Time {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    let digits = text.trim_end_matches(" ms");
    let ms = digits
      .parse()
      .map_err(|_| Error::Number { found: text.into(), kind: "time in milliseconds" })?;
    Ok(Self(ms))
  }
}
