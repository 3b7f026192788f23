use super::*;

/// The calls that one run made to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCalls {
  /// Calls that ended.
  pub count: u32,
  /// Calls among them that failed.
  pub failed: u32,
  /// The service.
  pub service: ServiceName,
  /// Calls that were under way together with an earlier one of the run.
  pub together: u32,
  /// Microseconds that the calls took in sum.
  pub took_us: u64,
}

impl Display for ServiceCalls {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    let Self { count, failed, service, together, took_us } = self;
    let service = service.encoded();
    write!(f, "{service}:{count}:{failed}:{together}:{took_us}")
  }
}

impl FromStr for ServiceCalls {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let malformed = || Self::Err::Number { found: text.into(), kind: "calls" };
    let mut parts = text.split(':');
    let service = parts.next().and_then(ServiceName::decoded).ok_or_else(malformed)?;
    let mut next = || parts.next().and_then(|part| part.parse::<u64>().ok()).ok_or_else(malformed);
    let narrow = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    let (count, failed, together) = (narrow(next()?), narrow(next()?), narrow(next()?));
    let took_us = next()?;
    let (failed, together) = (failed.min(count), together.min(count));
    Ok(Self { count, failed, service, together, took_us })
  }
}
