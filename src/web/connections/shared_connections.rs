use super::*;

use std::sync::atomic::{AtomicUsize, Ordering};

/// The connections of all servers of a process.
pub struct SharedConnections {
  /// Connections that were told to end since this was last taken.
  evictions: RefCell<BTreeMap<(PeerKind, Eviction), u64>>,
  /// Bytes of bodies that requests hold after their connections have passed them on.
  reserved_bytes: Arc<AtomicUsize>,
  signals: RefCell<BTreeMap<ConnectionId, (PeerKind, Rc<open_connection::Signal>)>>,
  table: RefCell<ConnectionTable>,
}

impl SharedConnections {
  /// The part of the room that is left which may be reserved at once.
  const RESERVED_DIVISOR: usize = 8;

  /// Creates an empty set of connections.
  pub fn new(limits: ConnectionLimits) -> Rc<Self> {
    Rc::new(Self {
      evictions: RefCell::default(),
      reserved_bytes: Arc::default(),
      signals: RefCell::default(),
      table: RefCell::new(ConnectionTable::new(limits)),
    })
  }

  /// Takes a new connection, or returns `None` if it has to be closed.
  pub fn open(self: &Rc<Self>, kind: PeerKind) -> Option<OpenConnection> {
    let opening = self.table.borrow_mut().open(timer::now(), kind);
    let Opening::Taken { evicted, id } = opening else {
      self.count(kind, Eviction::Connections);
      return None;
    };
    if let Some(evicted) = evicted {
      self.evict(evicted, Eviction::Connections);
    }
    let signal = Rc::<open_connection::Signal>::default();
    self.signals.borrow_mut().insert(id, (kind, signal.clone()));
    Some(OpenConnection::new(self.clone(), id, signal))
  }

  /// Bytes that one connection may hold now.
  pub fn allowance_bytes(&self) -> usize {
    self.table.borrow().allowance_bytes(self.reserved_bytes())
  }

  /// Number of connections whose requests are being answered.
  pub fn busy_count(&self) -> usize {
    self.table.borrow().busy_count()
  }

  /// Bytes that all peers hold.
  pub fn held_bytes(&self) -> usize {
    self.table.borrow().held_bytes() + self.reserved_bytes()
  }

  /// Number of open connections of a kind.
  pub fn open_count(&self, kind: PeerKind) -> usize {
    self.table.borrow().open_count(kind)
  }

  /// Counts the bytes of a body until the last reference to it is dropped.
  pub fn hold(&self, body: BytesMut) -> Bytes {
    let reserved = ReservedBytes::new(body.capacity(), self.reserved_bytes.clone());
    Bytes::from_owner(HeldBody::new(body, reserved))
  }

  /// Counts `bytes` as held until the result is dropped, or returns `None` if they would take too much of the room that
  /// is left.
  pub fn reserve(&self, bytes: usize) -> Option<ReservedBytes> {
    let room_bytes = self.table.borrow().room_bytes(self.reserved_bytes());
    let is_small = bytes <= room_bytes / Self::RESERVED_DIVISOR;
    is_small.then(|| ReservedBytes::new(bytes, self.reserved_bytes.clone()))
  }

  /// Returns how many connections were told to end since the last call.
  pub fn take_evictions(&self) -> BTreeMap<(PeerKind, Eviction), u64> {
    self.evictions.take()
  }

  pub(super) fn update(&self, id: ConnectionId, held_bytes: usize, phase: Phase) {
    self.table.borrow_mut().update(timer::now(), id, held_bytes, phase);
    loop {
      let excess = self.table.borrow_mut().take_excess(self.reserved_bytes());
      match excess {
        Some(id) => self.evict(id, Eviction::Memory),
        None => return,
      }
    }
  }

  pub(super) fn close(&self, id: ConnectionId) {
    self.signals.borrow_mut().remove(&id);
    self.table.borrow_mut().close(id);
  }

  fn reserved_bytes(&self) -> usize {
    self.reserved_bytes.load(Ordering::Relaxed)
  }

  fn evict(&self, id: ConnectionId, eviction: Eviction) {
    let found = self.signals.borrow().get(&id).cloned();
    if let Some((kind, signal)) = found {
      self.count(kind, eviction);
      signal.raise(eviction);
    }
  }

  fn count(&self, kind: PeerKind, eviction: Eviction) {
    *self.evictions.borrow_mut().entry((kind, eviction)).or_default() += 1;
  }
}
