use super::*;

/// A transfer slot for a large body on the box's network link, or a place in the queue for one.
/// Released when dropped.
pub struct HeldTurn {
  shared: Rc<Shared>,
  ticket: Ticket,
}

impl HeldTurn {
  /// Waits for a transfer slot, at most as long as the request may queue.
  pub async fn take(
    shared: &Rc<Shared>,
    forwarded: &Forwarded,
    bytes: u64,
  ) -> std::result::Result<Self, AttemptOutcome> {
    let turn = Self { shared: shared.clone(), ticket: shared.names.ticket() };
    if shared.body_turns.borrow_mut().arrive(turn.ticket, bytes) {
      return Ok(turn);
    }
    let (admit, admitted) = futures_channel::oneshot::channel();
    shared.waiting.borrow_mut().insert(turn.ticket, admit);
    let patience_ms = forwarded.urgency.wait_until.since_ms(shared.now().time);
    if let Ok(Ok(())) = timer::timeout(Duration::from_millis(patience_ms), admitted).await {
      return Ok(turn);
    }
    let reason = "the box's network link was busy with other bodies for too long";
    Err(AttemptOutcome::declined(reason, Shared::RETRY_AFTER_MS))
  }
}

impl Drop for HeldTurn {
  fn drop(&mut self) {
    self.shared.waiting.borrow_mut().remove(&self.ticket);
    let admitted = self.shared.body_turns.borrow_mut().leave(self.ticket);
    for ticket in admitted {
      self.shared.admit(ticket);
    }
  }
}
