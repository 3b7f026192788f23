use super::*;

/// A rate limit that a process of a backend server named, as one daemon tells another. Its text is
/// the rate and, if known, the process: `22.3/s i-1`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitHint {
  /// The process; `None` where the backend server does not identify its processes.
  pub instance: Option<InstanceId>,
  /// The limit.
  pub rate: Rate,
}

impl Display for LimitHint {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match &self.instance {
      Some(instance) => write!(f, "{} {}", self.rate, instance.encoded()),
      None => self.rate.fmt(f),
    }
  }
}

impl FromStr for LimitHint {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let (rate, instance) = match text.split_once(' ') {
      Some((rate, instance)) => (rate, InstanceId::decoded(instance)),
      None => (text, None),
    };
    Ok(Self { instance, rate: rate.parse()? })
  }
}
