use super::*;

/// How a fresh daemon learns how far its box, and the fleet, have been.
///
/// A restarted daemon holds nothing, so it asks some boxes which version they know its box, or
/// themselves, to have held. It takes no configuration before.
#[derive(Clone, Debug)]
pub(super) struct Floor {
  /// Boxes that answered.
  heard: BTreeSet<BoxId>,
  /// Boxes that are being asked.
  asking: BTreeSet<BoxId>,
  /// Boxes whose answers suffice.
  needed: usize,
  /// The newest update that came too early, with the link it came by.
  pub(super) early: Option<(LinkId, Update)>,
  started_at: Time,
}

impl Floor {
  /// Boxes asked at once.
  const ASKING_MAX: usize = 2;
  /// Boxes whose answers suffice.
  const ENOUGH: usize = 3;
  /// Longest wait, for a fleet of which nobody else answers.
  const WAIT_MS: u64 = 2_000;

  pub(super) fn new(now: Time, identity: &Identity) -> Self {
    let own = &identity.endpoint.peer.box_id;
    let others = identity.seeds.iter().filter(|peer| peer.box_id != *own).count();
    Self {
      asking: BTreeSet::new(),
      early: None,
      heard: BTreeSet::new(),
      needed: others.min(Self::ENOUGH),
      started_at: now,
    }
  }

  pub(super) fn is_known(&self, now: Time) -> bool {
    self.heard.len() >= self.needed || now.since_ms(self.started_at) >= Self::WAIT_MS
  }

  /// A box to ask, where one more is needed.
  fn next(&mut self, now: Time, identity: &Identity, rng: &mut ChaCha8Rng) -> Option<Peer> {
    if self.is_known(now) || self.asking.len() >= Self::ASKING_MAX {
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
  pub(super) fn tick_floor(&mut self) {
    if self.catalog.version().is_some() {
      return;
    }
    if self.floor.is_known(self.now.time) {
      if let Some((link, update)) = self.floor.early.take() {
        self.update_received(link, update);
      }
      self.take_head();
      return;
    }
    if let Some(peer) = self.floor.next(self.now.time, &self.identity, &mut self.rng) {
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
