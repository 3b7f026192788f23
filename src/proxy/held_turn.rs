use super::*;

/// The turn of a body that comes over the box's network link, or its place in the queue. Given back when dropped.
pub struct HeldTurn {
  shared: Rc<Shared>,
  ticket: Ticket,
}

impl HeldTurn {
  /// Waits for the turn of a body, for as long as its request is patient.
  pub async fn take(
    shared: &Rc<Shared>,
    forwarded: &Forwarded,
    bytes: u64,
  ) -> std::result::Result<Self, AttemptOutcome> {
    let turn = Self { shared: shared.clone(), ticket: shared.names.ticket() };
    if shared.body_queue.borrow_mut().arrive(turn.ticket, bytes) {
      return Ok(turn);
    }
    let (admit, admitted) = futures_channel::oneshot::channel();
    shared.waiters.borrow_mut().insert(turn.ticket, admit);
    let patience_ms = forwarded.urgency.wait_until.since_ms(shared.now().time);
    if let Ok(Ok(())) = timer::timeout(Duration::from_millis(patience_ms), admitted).await {
      return Ok(turn);
    }
    let reason = "the box's link was taken by other bodies for too long";
    Err(AttemptOutcome::declined(reason, Shared::RETRY_AFTER_MS))
  }
}

impl Drop for HeldTurn {
  fn drop(&mut self) {
    self.shared.waiters.borrow_mut().remove(&self.ticket);
    let admitted = self.shared.body_queue.borrow_mut().leave(self.ticket);
    for ticket in admitted {
      self.shared.admit(ticket);
    }
  }
}
