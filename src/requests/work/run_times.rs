use super::*;

/// Learns how long runs of each route take at the usual backend server of its service.
///
/// It lives at the box that takes callers in, and learns from answers.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
  of_kinds: BTreeMap<RouteKind, LogAverage>,
  of_routes: BTreeMap<RouteName, LogAverage>,
}

impl RunTimes {
  /// Runs of a route from which its own average is used instead of that of its kind.
  const OWN_MIN: u32 = 10;
  /// Kinds that are kept. Usual configurations have far fewer.
  const KINDS_MAX: usize = 4_096;

  /// Adds the work of a run: its time as it would be at the usual backend server.
  pub fn note(&mut self, route: &RouteName, kind: &RouteKind, work_us: u64) {
    match self.of_routes.get_mut(route) {
      Some(average) => average.add(work_us),
      None => self.of_routes.entry(route.clone()).or_default().add(work_us),
    }
    let has_room = self.of_kinds.len() < Self::KINDS_MAX;
    match self.of_kinds.get_mut(kind) {
      Some(average) => average.add(work_us),
      None if has_room => self.of_kinds.entry(kind.clone()).or_default().add(work_us),
      None => {}
    }
  }

  /// Returns how long the next run of a route is expected to take; `None` where too little is
  /// known.
  pub fn estimate(&self, route: &RouteName, kind: &RouteKind) -> Option<RunEstimate> {
    let own = self.of_routes.get(route).filter(|own| own.count() >= Self::OWN_MIN);
    own.or_else(|| self.of_kinds.get(kind)).and_then(LogAverage::estimate)
  }

  /// Drops routes that no longer exist, and kinds that no route is of.
  pub fn retain<'a>(
    &mut self,
    is_known: impl Fn(&RouteName) -> bool,
    kinds: impl Iterator<Item = RouteKind> + 'a,
  ) {
    self.of_routes.retain(|route, _| is_known(route));
    let kinds: BTreeSet<RouteKind> = kinds.collect();
    self.of_kinds.retain(|kind, _| kinds.contains(kind));
  }

  /// Returns the number of routes that are known.
  pub fn known_routes(&self) -> usize {
    self.of_routes.len()
  }
}
