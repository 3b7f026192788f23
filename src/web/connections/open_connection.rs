use super::*;

/// A connection's entry in [`SharedConnections`]. Removed when dropped.
pub struct OpenConnection {
  connections: Rc<SharedConnections>,
  id: ConnectionId,
  /// What was told last.
  reported: (usize, Phase),
  signal: Rc<Signal>,
}

/// Tells a connection's task to end it.
#[derive(Default)]
pub(super) struct Signal {
  eviction: Cell<Option<Eviction>>,
  task: RefCell<Option<std::task::Waker>>,
}

impl Signal {
  pub(super) fn raise(&self, eviction: Eviction) {
    self.eviction.set(Some(eviction));
    if let Some(task) = self.task.take() {
      task.wake();
    }
  }
}

impl OpenConnection {
  pub(super) fn new(
    connections: Rc<SharedConnections>,
    id: ConnectionId,
    signal: Rc<Signal>,
  ) -> Self {
    Self { connections, id, reported: (0, Phase::Idle), signal }
  }

  /// Bytes that the connection may hold now.
  pub fn allowance_bytes(&self) -> usize {
    self.connections.allowance_bytes()
  }

  /// The connections of the process.
  pub fn connections(&self) -> &Rc<SharedConnections> {
    &self.connections
  }

  /// Ready with the reason once the connection has to end.
  pub fn poll_eviction(&self, context: &Context) -> Poll<Eviction> {
    if let Some(eviction) = self.signal.eviction.get() {
      return Poll::Ready(eviction);
    }
    let mut task = self.signal.task.borrow_mut();
    if !task.as_ref().is_some_and(|known| known.will_wake(context.waker())) {
      *task = Some(context.waker().clone());
    }
    Poll::Pending
  }

  /// Waits until the connection has to end.
  pub async fn evicted(&self) -> Eviction {
    std::future::poll_fn(|context| self.poll_eviction(context)).await
  }

  /// Tells what the connection holds and waits for.
  pub fn report(&mut self, held_bytes: usize, phase: Phase) {
    if self.reported != (held_bytes, phase) {
      self.reported = (held_bytes, phase);
      self.connections.update(self.id, held_bytes, phase);
    }
  }
}

impl Drop for OpenConnection {
  fn drop(&mut self) {
    self.connections.close(self.id);
  }
}
