use super::*;

/// The boxes that watch the store: the few of each data hall with the fastest links, equal ones by a hash of
/// their names. All boxes that know the same fleet find the same watchers, without asking anybody.
///
/// What one box's news changes costs the same work in a fleet of any size.
#[derive(Clone, Debug)]
pub(super) struct Watchers {
  /// The boxes of each data hall in the order in which they would watch.
  halls: BTreeMap<DataHall, BTreeMap<Seat, Peer>>,
  /// Those of the own data hall.
  of_hall: BTreeSet<BoxId>,
  own_hall: DataHall,
  /// All of them, by a hash of their names, so that neighbours in this order seldom share a data hall.
  ring: Vec<Peer>,
  /// Where each box stands in its data hall.
  seats: BTreeMap<BoxId, (DataHall, Seat)>,
}

/// Where a box stands among those of its data hall: faster links come first, then hashes of names.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Seat {
  link_mbps: Reverse<u32>,
  name_hash: Digest,
}

impl Watchers {
  /// Boxes of a data hall that watch the store, so that one may fail.
  const PER_HALL: usize = 2;

  /// What a box of `own_hall` sees that knows no others yet.
  pub(super) fn new(own_hall: DataHall) -> Self {
    Self {
      halls: BTreeMap::new(),
      of_hall: BTreeSet::new(),
      own_hall,
      ring: Vec::new(),
      seats: BTreeMap::new(),
    }
  }

  /// Takes in the newest news about a box.
  pub(super) fn note(&mut self, endpoint: &Endpoint) {
    let peer = &endpoint.peer;
    let link_mbps = Reverse(endpoint.link_mbps);
    let known = self.seats.get(&peer.box_id);
    let is_same = known.is_some_and(|(hall, seat)| {
      *hall == peer.data_hall
        && seat.link_mbps == link_mbps
        && self.halls[hall].get(seat) == Some(peer)
    });
    let is_there = !endpoint.state.is_gone();
    let changes_nothing = if is_there { is_same } else { known.is_none() };
    if changes_nothing {
      return;
    }
    let left = self.leave(&peer.box_id);
    let came = is_there && self.join(peer, link_mbps);
    if left || came {
      self.choose();
    }
  }

  /// A box takes its seat. Returns whether it watches from then on.
  fn join(&mut self, peer: &Peer, link_mbps: Reverse<u32>) -> bool {
    let seat = Seat { link_mbps, name_hash: hash(&peer.box_id) };
    let hall = self.halls.entry(peer.data_hall.clone()).or_default();
    hall.insert(seat, peer.clone());
    let watches = hall.keys().take(Self::PER_HALL).any(|one| *one == seat);
    self.seats.insert(peer.box_id.clone(), (peer.data_hall.clone(), seat));
    watches
  }

  /// A box gives up its seat. Returns whether it watched.
  fn leave(&mut self, box_id: &BoxId) -> bool {
    let Some((hall, seat)) = self.seats.remove(box_id) else {
      return false;
    };
    let Some(boxes) = self.halls.get_mut(&hall) else {
      return false;
    };
    let watched = boxes.keys().take(Self::PER_HALL).any(|one| *one == seat);
    boxes.remove(&seat);
    if boxes.is_empty() {
      self.halls.remove(&hall);
    }
    watched
  }

  /// Finds the watchers anew.
  fn choose(&mut self) {
    let watchers = self.halls.values().flat_map(|boxes| boxes.iter().take(Self::PER_HALL));
    let mut ring: Vec<(&Seat, &Peer)> = watchers.collect();
    ring.sort_by_key(|(seat, _)| seat.name_hash);
    self.ring = ring.into_iter().map(|(_, peer)| peer.clone()).collect();
    let of_hall = self.ring.iter().filter(|peer| peer.data_hall == self.own_hall);
    self.of_hall = of_hall.map(|peer| peer.box_id.clone()).collect();
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

fn hash(box_id: &BoxId) -> Digest {
  Digest::of(box_id.as_str().as_bytes())
}
