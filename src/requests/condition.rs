use super::*;

/// What the daemon beside a backend server says of it with each answer.
///
/// All requests to a backend server pass that daemon, so it learns within a second what any other
/// daemon of a large fleet would need minutes for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Condition {
  /// Requests in a thousand that failed there lately by the backend server's own fault.
  pub failures_permille: u32,
  /// Requests running and waiting, in percent of the slots, or how full the box's link is.
  pub load_percent: u32,
  /// Microseconds that a request takes there lately; 0 where that is not known yet.
  pub service_us: u64,
}

impl Display for Condition {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{},{},{}", self.load_percent, self.service_us, self.failures_permille)
  }
}

impl FromStr for Condition {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let malformed = || Self::Err::Number { found: text.into(), kind: "condition" };
    let mut parts = text.split(',');
    let mut next = || parts.next().and_then(|part| part.parse::<u64>().ok()).ok_or_else(&malformed);
    let narrow = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    let (load, service_us, failures) = (next()?, next()?, next()?);
    Ok(Self {
      failures_permille: narrow(failures).min(1_000),
      load_percent: narrow(load),
      service_us,
    })
  }
}
