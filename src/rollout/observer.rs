use super::*;

/// Counts the answers of the daemon's own backend server during a rollout of its service.
#[derive(Clone, Debug, Default)]
pub struct Observer {
  /// The rollout that the counts belong to.
  order_revision: Option<Revision>,
  sequence: u64,
  tallies: BTreeMap<RouteName, Tally>,
}

impl Observer {
  /// The most routes that are counted, first come first served. Keeps the evidence messages small.
  const ROUTES_MAX: usize = 24;

  /// Starts counting for a rollout, or stops if `None`. Keeps the counts of an unchanged rollout.
  pub fn set_rollout(&mut self, order_revision: Option<Revision>) {
    if self.order_revision != order_revision {
      *self = Self { order_revision, sequence: self.sequence, tallies: BTreeMap::new() };
    }
  }

  /// Drops the counts, as they don't apply to a new process of the backend server.
  pub fn forget(&mut self) {
    self.tallies.clear();
  }

  /// Counts a run on a route. `took_ms` is its duration, given only for a backend server that is warm.
  pub fn record_run(&mut self, route: &RouteName, failed: bool, took_ms: Option<u64>) {
    let is_counted = self.tallies.contains_key(route) || self.tallies.len() < Self::ROUTES_MAX;
    if self.order_revision.is_some() && is_counted {
      self.tallies.entry(route.clone()).or_default().add(failed, took_ms);
    }
  }

  /// Returns the evidence to send, or `None` without a rollout or while the version is unknown.
  pub fn evidence(&mut self, of: &Endpoint, closed: bool) -> Option<Evidence> {
    let (order_revision, software) = self.order_revision.zip(of.software.clone())?;
    self.sequence += 1;
    Some(Evidence {
      box_id: of.peer.box_id.clone(),
      closed,
      incarnation: of.incarnation,
      order_revision,
      sequence: self.sequence,
      service: of.service.clone(),
      software,
      tallies: self.tallies.clone(),
    })
  }
}
