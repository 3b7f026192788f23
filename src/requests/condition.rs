use super::*;

/// The load and health of a backend server, which the daemon beside it reports with each answer.
///
/// That daemon sees all requests to the backend server. So it learns within a second what any other
/// daemon of a large fleet would need minutes to observe.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Condition {
  /// Recent requests per thousand that failed by the backend server's own fault.
  pub failures_permille: u32,
  /// Milliseconds for which a large answer waits for the box's network link.
  pub link_wait_ms: u64,
  /// Running and waiting requests in percent of the slots, or the load of the box's link by bodies
  /// that it receives, in percent, if that is higher.
  pub load_percent: u32,
  /// Microseconds that a request currently takes; 0 where that is unknown.
  pub service_us: u64,
  /// How many of the slots are taken, without regard to the box's links.
  pub slot_load: SlotLoad,
  /// How much longer work takes there at this moment; `None` where that is unknown.
  pub slowdown: Option<Slowdown>,
}

impl Display for Condition {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    let slowdown_percent = self.slowdown.map_or(0, Slowdown::percent);
    write!(
      f,
      "{},{},{},{slowdown_percent},{},{}",
      self.load_percent, self.service_us, self.failures_permille, self.link_wait_ms, self.slot_load
    )
  }
}

impl FromStr for Condition {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let malformed = || Self::Err::Number { found: text.into(), kind: "condition" };
    let mut parts = text.split(',');
    let mut next = || parts.next().and_then(|part| part.parse::<u64>().ok()).ok_or_else(malformed);
    let narrow = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    let (load, service_us, failures) = (next()?, next()?, next()?);
    // Daemons of earlier versions send only these three.
    let (slowdown, link_wait_ms) = (next().unwrap_or(0), next().unwrap_or(0));
    let slot_load = parts.next().map(SlotLoad::from).unwrap_or_default();
    Ok(Self {
      failures_permille: narrow(failures).min(1_000),
      link_wait_ms,
      load_percent: narrow(load),
      service_us,
      slot_load,
      slowdown: (slowdown > 0).then(|| Slowdown::from_percent(narrow(slowdown))),
    })
  }
}
