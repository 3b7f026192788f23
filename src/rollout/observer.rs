use super::*;

/// Counts what the backend server beside the daemon answers while a roll-out of its service goes on.
#[derive(Clone, Debug, Default)]
pub struct Observer {
  /// The roll-out that the counts are about.
  ordered_at: Option<Revision>,
  sequence: u64,
  tallies: BTreeMap<RouteName, Tally>,
}

impl Observer {
  /// Routes that are counted, the first ones that are met: one word of a box has to stay small.
  const ROUTES_MAX: usize = 24;

  /// Counts for a roll-out from now on; for none where none goes on.
  pub fn watch(&mut self, ordered_at: Option<Revision>) {
    if self.ordered_at != ordered_at {
      *self = Self { ordered_at, sequence: self.sequence, tallies: BTreeMap::new() };
    }
  }

  /// Another process of the backend server runs: what was counted says nothing of it.
  pub fn forget(&mut self) {
    self.tallies.clear();
  }

  /// A run on a route ended. Its time says something only of a backend server that is warm.
  pub fn ran(&mut self, route: &RouteName, failed: bool, took_ms: Option<u64>) {
    let is_counted = self.tallies.contains_key(route) || self.tallies.len() < Self::ROUTES_MAX;
    if self.ordered_at.is_some() && is_counted {
      self.tallies.entry(route.clone()).or_default().add(failed, took_ms);
    }
  }

  /// What to tell of a backend server; nothing where no roll-out goes on.
  pub fn tell(&mut self, of: &Endpoint, closed: bool) -> Option<Evidence> {
    let (ordered_at, software) = self.ordered_at.zip(of.software.clone())?;
    self.sequence += 1;
    Some(Evidence {
      box_id: of.peer.box_id.clone(),
      closed,
      incarnation: of.incarnation,
      ordered_at,
      sequence: self.sequence,
      service: of.service.clone(),
      software,
      tallies: self.tallies.clone(),
    })
  }
}
