use super::*;

/// Decides which connection ends where memory or descriptors run short. Times are those of a steady clock.
pub struct ConnectionTable {
  /// Connections whose requests are being answered.
  busy: usize,
  connections: BTreeMap<ConnectionId, Entry>,
  /// The sum over all connections.
  held_bytes: usize,
  last: ConnectionId,
  limits: ConnectionLimits,
}

struct Entry {
  held_bytes: usize,
  /// Whether it was told to end.
  is_evicted: bool,
  kind: PeerKind,
  phase: Phase,
  /// When the phase began.
  since: Duration,
}

impl ConnectionTable {
  /// Bytes that a connection may hold at least, however little room is left.
  const ALLOWANCE_MIN_BYTES: usize = 4_096;
  /// Bytes that a connection may hold at most.
  const ALLOWANCE_MAX_BYTES: usize = 262_144;
  /// The part of the room that is left which a single connection may take.
  const ALLOWANCE_DIVISOR: usize = 64;

  /// Creates an empty table.
  pub fn new(limits: ConnectionLimits) -> Self {
    Self { busy: 0, connections: BTreeMap::new(), held_bytes: 0, last: ConnectionId(0), limits }
  }

  /// Number of connections whose requests are being answered.
  pub fn busy_count(&self) -> usize {
    self.busy
  }

  /// Bytes that one connection may hold now. The less room is left, the fewer.
  pub fn allowance_bytes(&self, reserved_bytes: usize) -> usize {
    let left = self.room_bytes(reserved_bytes);
    (left / Self::ALLOWANCE_DIVISOR).clamp(Self::ALLOWANCE_MIN_BYTES, Self::ALLOWANCE_MAX_BYTES)
  }

  /// Bytes that may be held further.
  pub fn room_bytes(&self, reserved_bytes: usize) -> usize {
    self.limits.held_bytes_max.saturating_sub(self.held_bytes + reserved_bytes)
  }

  /// Bytes that all connections hold.
  pub fn held_bytes(&self) -> usize {
    self.held_bytes
  }

  /// Number of open connections of a kind.
  pub fn open_count(&self, kind: PeerKind) -> usize {
    self.connections.values().filter(|entry| entry.kind == kind && !entry.is_evicted).count()
  }

  /// Takes or refuses a new connection. If there are too many of its kind, the idle one that has been idle for longest
  /// ends for it, or else the one that has waited longest for its peer.
  pub fn open(&mut self, now: Duration, kind: PeerKind) -> Opening {
    let connections_max = self.limits.connections_max.get(&kind).copied().unwrap_or(usize::MAX);
    let mut evicted = None;
    if connections_max < usize::MAX && self.open_count(kind) >= connections_max {
      let order = |entry: &Entry| (entry.phase != Phase::Idle, entry.since);
      let candidates = self.waiting().filter(|(_, entry)| entry.kind == kind);
      evicted = candidates.min_by_key(|(_, entry)| order(entry)).map(|(id, _)| id);
      match evicted {
        Some(id) => self.evict(id),
        None => return Opening::Refused,
      }
    }
    let id = ConnectionId(self.last.0 + 1);
    self.last = id;
    let entry = Entry { held_bytes: 0, is_evicted: false, kind, phase: Phase::Idle, since: now };
    self.connections.insert(id, entry);
    Opening::Taken { evicted, id }
  }

  /// Notes what a connection holds and waits for.
  pub fn update(&mut self, now: Duration, id: ConnectionId, held_bytes: usize, phase: Phase) {
    let Some(entry) = self.connections.get_mut(&id) else {
      return;
    };
    self.held_bytes = self.held_bytes - entry.held_bytes + held_bytes;
    entry.held_bytes = held_bytes;
    if entry.phase != phase {
      self.busy = self.busy - usize::from(entry.phase.is_busy()) + usize::from(phase.is_busy());
      (entry.phase, entry.since) = (phase, now);
    }
  }

  /// Returns the next connection to end while all hold more than they may, besides `reserved_bytes`: of those that hold
  /// more than the least allowance, the one that has waited longest for its peer.
  pub fn take_excess(&mut self, reserved_bytes: usize) -> Option<ConnectionId> {
    if self.held_bytes + reserved_bytes <= self.limits.held_bytes_max {
      return None;
    }
    let holds = |entry: &Entry| entry.held_bytes > Self::ALLOWANCE_MIN_BYTES;
    let candidates = self.waiting().filter(|(_, entry)| holds(entry));
    let (id, _) = candidates.min_by_key(|(_, entry)| entry.since)?;
    self.evict(id);
    Some(id)
  }

  /// Removes a closed connection.
  pub fn close(&mut self, id: ConnectionId) {
    if let Some(entry) = self.connections.remove(&id) {
      self.held_bytes -= entry.held_bytes;
      self.busy -= usize::from(entry.phase.is_busy());
    }
  }

  /// The connections that wait for their peers.
  fn waiting(&self) -> impl Iterator<Item = (ConnectionId, &Entry)> {
    let waits = |entry: &Entry| entry.phase.awaits_peer() && !entry.is_evicted;
    self.connections.iter().filter(move |(_, entry)| waits(entry)).map(|(id, entry)| (*id, entry))
  }

  /// What it holds counts as free at once, so that one shortage ends no more connections than it has to.
  fn evict(&mut self, id: ConnectionId) {
    if let Some(entry) = self.connections.get_mut(&id) {
      self.held_bytes -= entry.held_bytes;
      (entry.held_bytes, entry.is_evicted) = (0, true);
    }
  }
}
