use super::*;

/// Finds the floor of a restarted daemon: the lowest version that it may apply without going back.
///
/// A restarted daemon holds no configuration. It asks other boxes for the highest version that they
/// held, or know its own box to have held. It applies no configuration until enough boxes have
/// answered, or until the store confirms the newest version.
#[derive(Clone, Debug)]
pub(super) struct FloorDiscovery {
  /// Boxes that answered.
  answered: BTreeSet<BoxId>,
  /// Number of answers that suffice without the store.
  answers_needed: usize,
  /// The newest update received before the floor was known, with its link.
  pub(super) deferred_update: Option<(LinkId, Update)>,
  /// Boxes with a query under way.
  queried: BTreeSet<BoxId>,
  started_at: Time,
}

impl FloorDiscovery {
  /// Largest number of concurrent queries.
  const CONCURRENT_QUERIES_MAX: usize = 3;
  /// Number of answers that suffice in a fleet of any size. A small fleet needs a majority only.
  const ANSWERS_MAX: usize = 9;
  /// Milliseconds for which other boxes are queried even if the store confirms the version.
  const WAIT_MS: u64 = 1_000;

  pub(super) fn new(now: Time, identity: &Identity) -> Self {
    let own = &identity.endpoint.peer.box_id;
    let others = identity.seeds.iter().filter(|peer| peer.box_id != *own).count();
    let majority = if others == 0 { 0 } else { others / 2 + 1 };
    Self {
      answered: BTreeSet::new(),
      answers_needed: majority.min(Self::ANSWERS_MAX),
      deferred_update: None,
      queried: BTreeSet::new(),
      started_at: now,
    }
  }

  fn has_enough_answers(&self) -> bool {
    self.answered.len() >= self.answers_needed
  }

  fn has_waited(&self, now: Time) -> bool {
    now.since_ms(self.started_at) >= Self::WAIT_MS
  }

  /// Picks another box to query at random; `None` if no further query is needed or possible.
  fn next_peer(&mut self, identity: &Identity, rng: &mut ChaCha8Rng) -> Option<Peer> {
    if self.has_enough_answers() || self.queried.len() >= Self::CONCURRENT_QUERIES_MAX {
      return None;
    }
    let own = &identity.endpoint.peer.box_id;
    let is_new = |peer: &&Peer| {
      peer.box_id != *own
        && !self.answered.contains(&peer.box_id)
        && !self.queried.contains(&peer.box_id)
    };
    let fresh: Vec<&Peer> = identity.seeds.iter().filter(is_new).collect();
    let peer = (*fresh.choose(rng)?).clone();
    self.queried.insert(peer.box_id.clone());
    Some(peer)
  }
}

impl Distributor {
  /// Largest age, in milliseconds, of a store confirmation that a relay passes on.
  const CONFIRMATION_AGE_MAX_MS: u64 = 15_000;

  /// Whether this daemon may apply a configuration.
  pub(super) fn is_floor_known(&self) -> bool {
    self.floor_discovery.has_enough_answers()
      || (self.floor_discovery.has_waited(self.now.time) && self.is_store_confirmed())
  }

  fn is_store_confirmed(&self) -> bool {
    let upstream = self.upstream.link().and_then(|link| self.links.get(&link));
    let age_ms = upstream.and_then(|link| link.store_age_ms);
    self.is_relay_that_listed()
      || age_ms.is_some_and(|age_ms| age_ms <= Self::CONFIRMATION_AGE_MAX_MS)
  }

  pub(super) fn tick_floor_discovery(&mut self) {
    if self.catalog.version().is_some() {
      return;
    }
    if self.is_floor_known() {
      if let Some((link, update)) = self.floor_discovery.deferred_update.take() {
        self.update_received(link, update);
      }
      self.apply_head();
      return;
    }
    if let Some(peer) = self.floor_discovery.next_peer(&self.identity, &mut self.rng) {
      self.push_action(Action::OpenLink(peer));
    }
  }

  /// Takes in the highest version that another box held, or knows this box to have held.
  pub(super) fn floor_received(&mut self, peer: BoxId, floor: Version) {
    if self.catalog.version().is_some() {
      return;
    }
    self.floor_discovery.answered.insert(peer);
    self.catalog.raise_floor(floor);
  }

  /// Whether a floor query to the box is under way.
  pub(super) fn is_querying_floor(&self, box_id: &BoxId) -> bool {
    self.floor_discovery.queried.contains(box_id)
  }

  pub(super) fn floor_query_ended(&mut self, box_id: &BoxId) {
    self.floor_discovery.queried.remove(box_id);
  }

  /// The floor that this daemon reports to a restarted one.
  pub(super) fn floor_for(&self, box_id: &BoxId) -> Version {
    let recorded = self.known_versions.get(box_id).copied().unwrap_or_default();
    recorded.max(self.catalog.floor())
  }
}
