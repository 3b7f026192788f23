use super::*;

/// The boxes that watch the store: the few of each data hall with the fastest links, equal ones by a hash of
/// their names. All boxes that know the same fleet find the same watchers, without asking anybody.
#[derive(Clone, Debug, Default)]
pub(super) struct Watchers {
  /// Those of the own data hall.
  of_hall: BTreeSet<BoxId>,
  /// All of them, by a hash of their names, so that neighbours in this order seldom share a data hall.
  ring: Vec<Peer>,
}

impl Watchers {
  /// Boxes of a data hall that watch the store, so that one may fail.
  const PER_HALL: usize = 2;

  /// The watchers among `present` boxes, as a box of `data_hall` sees them.
  pub(super) fn among<'a>(
    present: impl Iterator<Item = &'a Endpoint>,
    data_hall: &DataHall,
  ) -> Self {
    let mut halls: BTreeMap<&DataHall, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in present {
      halls.entry(&endpoint.peer.data_hall).or_default().push(endpoint);
    }
    let hash = |endpoint: &Endpoint| Digest::of(endpoint.peer.box_id.as_str().as_bytes());
    let mut ring = Vec::new();
    for boxes in halls.values_mut() {
      boxes.sort_by_cached_key(|endpoint| (Reverse(endpoint.link_mbps), hash(endpoint)));
      ring.extend(boxes.iter().copied().take(Self::PER_HALL));
    }
    ring.sort_by_cached_key(|endpoint| hash(endpoint));
    let ring: Vec<Peer> = ring.into_iter().map(|endpoint| endpoint.peer.clone()).collect();
    let of_hall = ring.iter().filter(|peer| peer.data_hall == *data_hall);
    Self { of_hall: of_hall.map(|peer| peer.box_id.clone()).collect(), ring }
  }

  /// Whether a box watches the store for the own data hall.
  pub(super) fn is_of_hall(&self, box_id: &BoxId) -> bool {
    self.of_hall.contains(box_id)
  }

  /// The watchers of the own data hall.
  pub(super) fn of_hall(&self) -> impl Iterator<Item = &BoxId> {
    self.of_hall.iter()
  }

  /// All others in the order in which a watcher would hear from them, the usual one first. Where each hears
  /// from its first one, what any of them learns reaches all.
  pub(super) fn after(&self, own: &BoxId) -> impl Iterator<Item = &Peer> {
    let own_at = self.position(own).map_or(0, |position| position + 1);
    let (before, behind) = self.ring.split_at(own_at.min(self.ring.len()));
    behind.iter().chain(before).filter(move |peer| peer.box_id != *own)
  }

  /// Milliseconds until a watcher's turn, where each has a `turn_ms` of its own in a round of all of them.
  pub(super) fn until_turn_ms(&self, own: &BoxId, unix_ms: u64, turn_ms: u64) -> Option<u64> {
    let position = self.position(own)? as u64;
    let round_ms = turn_ms * self.ring.len() as u64;
    Some((position * turn_ms + round_ms - unix_ms % round_ms) % round_ms)
  }

  /// Milliseconds of a round in which each watcher has a turn.
  pub(super) fn round_ms(&self, turn_ms: u64) -> u64 {
    turn_ms * self.ring.len() as u64
  }

  /// Whether a box is one of all watchers.
  pub(super) fn is_one(&self, box_id: &BoxId) -> bool {
    self.position(box_id).is_some()
  }

  /// How many watchers there are.
  pub(super) fn count(&self) -> u64 {
    self.ring.len() as u64
  }

  /// How many watchers come before a box when it is about a service. Each service begins at another one.
  pub(super) fn rank(&self, box_id: &BoxId, service: &ServiceName) -> Option<u64> {
    let position = self.position(box_id)? as u64;
    let first = u64::from(Digest::of(service.as_str().as_bytes()).prefix()) % self.count();
    Some((position + self.count() - first) % self.count())
  }

  fn position(&self, box_id: &BoxId) -> Option<usize> {
    self.ring.iter().position(|peer| peer.box_id == *box_id)
  }
}
