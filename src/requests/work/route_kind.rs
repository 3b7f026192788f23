use super::*;

/// Routes of one service that are handled alike. Runs of a route of which little is known are
/// assumed to take as long as those of its kind.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RouteKind {
  priority: u32,
  service: ServiceName,
  target_ms: Option<u64>,
  timeout_ms: Option<u64>,
}

impl RouteKind {
  /// Returns the kind of a route that is sent to `service`.
  pub fn of(service: &ServiceName, handling: &Handling) -> Self {
    let Handling { priority, target_ms, timeout_ms, .. } = *handling;
    Self { priority, service: service.clone(), target_ms, timeout_ms }
  }
}
