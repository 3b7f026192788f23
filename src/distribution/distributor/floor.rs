use super::*;

/// How a fresh daemon learns how far its box, and the fleet, have been.
///
/// A restarted daemon holds nothing, so it asks some boxes which version they know its box, or
/// themselves, to have held. It takes no configuration before enough of them answered, or before
/// the store itself confirms the newest version.
#[derive(Clone, Debug)]
pub(super) struct Floor {
  /// Boxes that are being asked.
  asking: BTreeSet<BoxId>,
  /// The newest update that came too early, with the link it came by.
  pub(super) early: Option<(LinkId, Update)>,
  /// Boxes that answered.
  heard: BTreeSet<BoxId>,
  /// Boxes whose answers suffice without the store.
  needed: usize,
  started_at: Time,
}

impl Floor {
  /// Boxes asked at once.
  const ASKING_MAX: usize = 3;
  /// Boxes whose answers suffice in a fleet of any size. In a small one it is the majority.
  const ENOUGH: usize = 9;
  /// Milliseconds for which other boxes are asked although the store confirms the version.
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

  /// A box to ask, where one more is needed.
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
  /// Milliseconds since the store's word within which a relay's version counts as confirmed.
  const CONFIRMED_MS: u64 = 15_000;

  /// Whether this daemon may take a configuration.
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

  /// A box said how far it knows this box, or itself, to have been.
  pub(super) fn floor_heard(&mut self, peer: BoxId, floor: Version) {
    if self.catalog.version().is_some() {
      return;
    }
    self.floor.heard.insert(peer);
    self.catalog.raise_floor(floor);
  }

  /// Whether a box is being asked for its floor alone.
  pub(super) fn is_asking_floor(&self, box_id: &BoxId) -> bool {
    self.floor.asking.contains(box_id)
  }

  pub(super) fn floor_asked_ended(&mut self, box_id: &BoxId) {
    self.floor.asking.remove(box_id);
  }

  /// What this daemon answers to a fresh one.
  pub(super) fn floor_for(&self, box_id: &BoxId) -> Version {
    let recorded = self.records.get(box_id).copied().unwrap_or_default();
    recorded.max(self.catalog.floor())
  }
}
