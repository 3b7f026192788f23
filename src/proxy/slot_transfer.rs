use super::*;

/// A transfer between a caller and a backend server that holds a slot: of a request's body, or of its answer. While
/// others wait for a slot, it ends if the caller neither sends nor reads, or an answer goes on without the slot.
pub(super) struct SlotTransfer {
  kind: TransferKind,
  progress: RefCell<TransferProgress>,
  release: RefCell<Option<Release>>,
  request_id: RequestId,
  shared: Rc<Shared>,
  ticket: Ticket,
}

/// Frees the slot of a transfer. Returns whether the rest of an answer is held for its reader.
type Release = Box<dyn FnOnce() -> bool>;

/// What a transfer carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TransferKind {
  Answer,
  Upload,
}

impl Display for TransferKind {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::Answer => "answer",
      Self::Upload => "upload",
    })
  }
}

impl SlotTransfer {
  /// Milliseconds between two looks at the transfers while requests wait for slots.
  const LOOK_MS: u64 = 250;
  /// Milliseconds for which transfers are looked at after a request found no slot.
  const SHORTAGE_MS: u64 = 2_000;

  /// Lists a transfer of a request. `release` frees its slot, and returns whether the transfer goes on.
  pub(super) fn begin(
    shared: &Rc<Shared>,
    request_id: &RequestId,
    kind: TransferKind,
    release: impl FnOnce() -> bool + 'static,
  ) -> Rc<Self> {
    let ticket = shared.names.ticket();
    let transfer = Rc::new(Self {
      kind,
      progress: RefCell::default(),
      release: RefCell::new(Some(Box::new(release))),
      request_id: request_id.clone(),
      shared: shared.clone(),
      ticket,
    });
    shared.slot_transfers.borrow_mut().insert(ticket, transfer.clone());
    transfer
  }

  /// The transfer of an answer that holds a slot of the backend server beside this daemon.
  pub(super) fn of(answer: &Response<AnyBody>) -> Option<Rc<Self>> {
    answer.body().guard::<Rc<Self>>().cloned()
  }

  /// Notes that it waits for the caller.
  pub(super) fn await_peer(&self) {
    self.progress.borrow_mut().await_peer(self.shared.now().time);
  }

  /// Removes it from the list.
  pub(super) fn end(&self) {
    self.shared.slot_transfers.borrow_mut().remove(self.ticket);
  }

  /// Notes that the caller has sent or read `bytes`, and that the transfer waits for something else.
  pub(super) fn peer_moved(&self, bytes: u64) {
    self.progress.borrow_mut().peer_moved(self.shared.now().time, bytes);
  }
}

impl SlotHolder for SlotTransfer {
  fn is_stalled(&self, now: Time) -> bool {
    self.progress.borrow_mut().is_stalled(now)
  }

  fn release(&self) {
    let is_held = self.release.take().is_some_and(|release| release());
    let metrics = &self.shared.metrics.connections;
    if is_held {
      metrics.transfers_held.inc()
    } else {
      metrics.transfers_stopped.inc()
    };
    info!(
      self.shared.log.logger, #Log::REQUEST, "a transfer stalled while others waited for its slot";
      "request_id" => %self.request_id, "transfer" => %self.kind, "is_held" => is_held
    );
  }
}

/// Notes that a request found no free slot: transfers that stall give theirs up, now and for a while.
pub(super) fn note_shortage(shared: &Rc<Shared>) {
  let is_watched = shared.shortage_at.replace(Some(shared.now().time)).is_some();
  if !is_watched {
    monoio::spawn(release_stalled(shared.clone()));
  }
}

async fn release_stalled(shared: Rc<Shared>) {
  loop {
    timer::sleep(Duration::from_millis(SlotTransfer::LOOK_MS)).await;
    let now = shared.now().time;
    let is_recent = |at: Time| now.since_ms(at) < SlotTransfer::SHORTAGE_MS;
    let is_short = shared.shortage_at.get().is_some_and(is_recent);
    if !is_short && shared.waiters.borrow().is_empty() {
      shared.shortage_at.set(None);
      return;
    }
    let stalled = shared.slot_transfers.borrow_mut().take_stalled(now);
    for transfer in stalled {
      transfer.release();
    }
  }
}
