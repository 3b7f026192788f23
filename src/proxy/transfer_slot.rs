use super::*;

/// A transfer slot for a large body on the box's network link, or a place in the queue for one.
/// Released when dropped.
pub struct TransferSlot {
  shared: Rc<Shared>,
  ticket: Ticket,
}

impl TransferSlot {
  /// Waits for a transfer slot, at most as long as the request may queue.
  pub async fn take(
    shared: &Rc<Shared>,
    forwarded: &ForwardedRequest,
    bytes: u64,
  ) -> std::result::Result<Self, AttemptOutcome> {
    let slot = Self { shared: shared.clone(), ticket: shared.names.ticket() };
    if shared.body_queue.borrow_mut().arrive(slot.ticket, bytes) {
      return Ok(slot);
    }
    slot_transfer::note_shortage(shared);
    let (admit, admitted) = futures_channel::oneshot::channel();
    shared.waiters.borrow_mut().insert(slot.ticket, admit);
    let wait_max_ms = forwarded.urgency.wait_until.since_ms(shared.now().time);
    if let Ok(Ok(())) = timer::timeout(Duration::from_millis(wait_max_ms), admitted).await {
      return Ok(slot);
    }
    let reason = "the box's link was taken by other bodies for too long";
    Err(AttemptOutcome::declined(reason, Shared::RETRY_AFTER_MS))
  }
}

impl Drop for TransferSlot {
  fn drop(&mut self) {
    self.shared.waiters.borrow_mut().remove(&self.ticket);
    let admitted = self.shared.body_queue.borrow_mut().leave(self.ticket);
    for ticket in admitted {
      self.shared.admit(ticket);
    }
  }
}
