use super::*;

/// The boxes that watch the store: the few of each data hall with the fastest links, with ties
/// broken by a hash of their names. All boxes that know the same fleet compute the same watchers
/// without communication.
///
/// Applying an update about one box costs the same in a fleet of any size.
#[derive(Clone, Debug)]
pub(super) struct Watchers {
  /// The boxes of each data hall, in order of preference as watchers.
  halls: BTreeMap<DataHall, BTreeMap<Rank, Peer>>,
  /// The watchers of the own data hall.
  in_own_hall: BTreeSet<BoxId>,
  own_hall: DataHall,
  /// All watchers, ordered by a hash of their names so that neighbours rarely share a data hall.
  ring: Vec<Peer>,
  /// The data hall and rank of each box.
  ranks: BTreeMap<BoxId, (DataHall, Rank)>,
}

/// The rank of a box in its data hall: by link speed, fastest first, then by hash of the name.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
  link_mbps: Reverse<u32>,
  name_hash: Digest,
}

impl Watchers {
  /// Number of watchers in a data hall, so that one may fail.
  const PER_HALL: usize = 2;

  /// Creates the state of a box of `own_hall` that knows no other boxes yet.
  pub(super) fn new(own_hall: DataHall) -> Self {
    Self {
      halls: BTreeMap::new(),
      in_own_hall: BTreeSet::new(),
      own_hall,
      ring: Vec::new(),
      ranks: BTreeMap::new(),
    }
  }

  /// Applies the latest state of a box.
  pub(super) fn update(&mut self, endpoint: &Endpoint) {
    let peer = &endpoint.peer;
    let link_mbps = Reverse(endpoint.link_mbps);
    let known = self.ranks.get(&peer.box_id);
    let is_same = known.is_some_and(|(hall, rank)| {
      *hall == peer.data_hall
        && rank.link_mbps == link_mbps
        && self.halls[hall].get(rank) == Some(peer)
    });
    let is_there = !endpoint.state.is_gone();
    let changes_nothing = if is_there { is_same } else { known.is_none() };
    if changes_nothing {
      return;
    }
    let left = self.leave(&peer.box_id);
    let came = is_there && self.join(peer, link_mbps);
    if left || came {
      self.recompute();
    }
  }

  /// Adds a box. Returns whether it is a watcher.
  fn join(&mut self, peer: &Peer, link_mbps: Reverse<u32>) -> bool {
    let rank = Rank { link_mbps, name_hash: hash(&peer.box_id) };
    let hall = self.halls.entry(peer.data_hall.clone()).or_default();
    hall.insert(rank, peer.clone());
    let watches = hall.keys().take(Self::PER_HALL).any(|one| *one == rank);
    self.ranks.insert(peer.box_id.clone(), (peer.data_hall.clone(), rank));
    watches
  }

  /// Removes a box. Returns whether it was a watcher.
  fn leave(&mut self, box_id: &BoxId) -> bool {
    let Some((hall, rank)) = self.ranks.remove(box_id) else {
      return false;
    };
    let Some(boxes) = self.halls.get_mut(&hall) else {
      return false;
    };
    let watched = boxes.keys().take(Self::PER_HALL).any(|one| *one == rank);
    boxes.remove(&rank);
    if boxes.is_empty() {
      self.halls.remove(&hall);
    }
    watched
  }

  /// Recomputes the watchers.
  fn recompute(&mut self) {
    let watchers = self.halls.values().flat_map(|boxes| boxes.iter().take(Self::PER_HALL));
    let mut ring: Vec<(&Rank, &Peer)> = watchers.collect();
    ring.sort_by_key(|(rank, _)| rank.name_hash);
    self.ring = ring.into_iter().map(|(_, peer)| peer.clone()).collect();
    let in_own_hall = self.ring.iter().filter(|peer| peer.data_hall == self.own_hall);
    self.in_own_hall = in_own_hall.map(|peer| peer.box_id.clone()).collect();
  }

  /// Whether a box is a watcher of the own data hall.
  pub(super) fn is_in_own_hall(&self, box_id: &BoxId) -> bool {
    self.in_own_hall.contains(box_id)
  }

  /// Returns the watchers of the own data hall.
  pub(super) fn own_hall_watchers(&self) -> impl Iterator<Item = &BoxId> {
    self.in_own_hall.iter()
  }

  /// Returns all other watchers in the order in which a watcher prefers them as sources. If each
  /// receives updates from its first choice, they form a ring, and every update reaches all of
  /// them.
  pub(super) fn sources_for(&self, own: &BoxId) -> impl Iterator<Item = &Peer> {
    let own_at = self.position(own).map_or(0, |position| position + 1);
    let (before, behind) = self.ring.split_at(own_at.min(self.ring.len()));
    behind.iter().chain(before).filter(move |peer| peer.box_id != *own)
  }

  /// Returns the milliseconds until a watcher's next turn, in a round that gives each watcher a
  /// turn of `turn_ms`.
  pub(super) fn until_turn_ms(&self, own: &BoxId, unix_ms: u64, turn_ms: u64) -> Option<u64> {
    let position = self.position(own)? as u64;
    let round_ms = turn_ms * self.ring.len() as u64;
    Some((position * turn_ms + round_ms - unix_ms % round_ms) % round_ms)
  }

  /// Returns the length in milliseconds of a round that gives each watcher a turn of `turn_ms`.
  pub(super) fn round_ms(&self, turn_ms: u64) -> u64 {
    turn_ms * self.ring.len() as u64
  }

  /// Whether a box is a watcher of any data hall.
  pub(super) fn contains(&self, box_id: &BoxId) -> bool {
    self.position(box_id).is_some()
  }

  /// Returns the number of watchers.
  pub(super) fn count(&self) -> u64 {
    self.ring.len() as u64
  }

  /// Returns the number of watchers before a box in the order for a service, or `None` if the box
  /// is not a watcher. Each service starts at a watcher given by the hash of its name.
  pub(super) fn rank(&self, box_id: &BoxId, service: &ServiceName) -> Option<u64> {
    let position = self.position(box_id)? as u64;
    let first = u64::from(Digest::of(service.as_str().as_bytes()).prefix()) % self.count();
    Some((position + self.count() - first) % self.count())
  }

  fn position(&self, box_id: &BoxId) -> Option<usize> {
    self.ring.iter().position(|peer| peer.box_id == *box_id)
  }
}

fn hash(box_id: &BoxId) -> Digest {
  Digest::of(box_id.as_str().as_bytes())
}
