use super::*;

/// Finds the floor of a restarted daemon: the lowest version that it may apply without going back.
///
/// A restarted daemon holds no configuration. It asks other boxes for the highest version that they
/// held, or know its own box to have held. It applies no configuration until enough boxes have
/// answered, or until the store confirms the newest version.
#[derive(Clone, Debug)]
pub(super) struct Floor {
  /// Boxes with a query under way.
  asking: BTreeSet<BoxId>,
  /// The newest update received before the floor was known, with its link.
  pub(super) early: Option<(LinkId, Update)>,
  /// Boxes that answered.
  heard: BTreeSet<BoxId>,
  /// Number of answers that suffice without the store.
  needed: usize,
  started_at: Time,
}

impl Floor {
  /// Largest number of concurrent queries.
  const ASKING_MAX: usize = 3;
  /// Number of answers that suffice in a fleet of any size. A small fleet needs a majority only.
  const ENOUGH: usize = 9;
  /// Milliseconds for which other boxes are queried even if the store confirms the version.
  const WAIT_MS: u64 = 1_000;

  pub(super) fn new(now: Time, identity: &Identity) -> Self {
    let own = &identity.endpoint.peer.box_id;
    let others = identity.seeds.iter().filter(|peer| peer.box_id != *own).count();
    let majority = if others == 0 { 0 } else { others / 2 + 1 };
    Self {
      asking: BTreeSet::new(),
      early: None,
      heard: BTreeSet::new(),
      needed: majority.min(Self::ENOUGH),
      started_at: now,
    }
  }

  fn is_heard_enough(&self) -> bool {
    self.heard.len() >= self.needed
  }

  fn has_waited(&self, now: Time) -> bool {
    now.since_ms(self.started_at) >= Self::WAIT_MS
  }

  /// Picks another box to query at random; `None` if no further query is needed or possible.
  fn next(&mut self, identity: &Identity, rng: &mut ChaCha8Rng) -> Option<Peer> {
    if self.is_heard_enough() || self.asking.len() >= Self::ASKING_MAX {
      return None;
    }
    let own = &identity.endpoint.peer.box_id;
    let is_new = |peer: &&Peer| {
      peer.box_id != *own
        && !self.heard.contains(&peer.box_id)
        && !self.asking.contains(&peer.box_id)
    };
    let fresh: Vec<&Peer> = identity.seeds.iter().filter(is_new).collect();
    let peer = (*fresh.choose(rng)?).clone();
    self.asking.insert(peer.box_id.clone());
    Some(peer)
  }
}

impl Distributor {
  /// Largest age, in milliseconds, of a store confirmation that a relay passes on.
  const CONFIRMED_MS: u64 = 15_000;

  /// Whether this daemon may apply a configuration.
  pub(super) fn is_floor_known(&self) -> bool {
    self.floor.is_heard_enough()
      || (self.floor.has_waited(self.now.time) && self.is_store_confirmed())
  }

  fn is_store_confirmed(&self) -> bool {
    let upstream = self.upstream.link().and_then(|link| self.links.get(&link));
    let age_ms = upstream.and_then(|link| link.store_age_ms);
    self.is_relay_that_listed() || age_ms.is_some_and(|age_ms| age_ms <= Self::CONFIRMED_MS)
  }

  pub(super) fn tick_floor(&mut self) {
    if self.catalog.version().is_some() {
      return;
    }
    if self.is_floor_known() {
      if let Some((link, update)) = self.floor.early.take() {
        self.update_received(link, update);
      }
      self.take_head();
      return;
    }
    if let Some(peer) = self.floor.next(&self.identity, &mut self.rng) {
      self.act(Action::OpenLink(peer));
    }
  }

  /// Takes in the highest version that another box held, or knows this box to have held.
  pub(super) fn floor_heard(&mut self, peer: BoxId, floor: Version) {
    if self.catalog.version().is_some() {
      return;
    }
    self.floor.heard.insert(peer);
    self.catalog.raise_floor(floor);
  }

  /// Whether a floor query to the box is under way.
  pub(super) fn is_asking_floor(&self, box_id: &BoxId) -> bool {
    self.floor.asking.contains(box_id)
  }

  pub(super) fn floor_asked_ended(&mut self, box_id: &BoxId) {
    self.floor.asking.remove(box_id);
  }

  /// The floor that this daemon reports to a restarted one.
  pub(super) fn floor_for(&self, box_id: &BoxId) -> Version {
    let recorded = self.records.get(box_id).copied().unwrap_or_default();
    recorded.max(self.catalog.floor())
  }
}
