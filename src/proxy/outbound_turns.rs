use super::*;

/// The place of a large answer in the schedule of the box's link. Given up when dropped.
pub(super) struct OutboundTurns {
  arrived_at: Time,
  /// When its first piece was sent.
  begun_at: Option<Time>,
  /// Bytes that were read ahead and are not sent.
  buffered_bytes: usize,
  /// Size of the body; 0 where that is unknown.
  bytes: u64,
  due: Time,
  request_id: RequestId,
  shared: Rc<Shared>,
  ticket: Ticket,
}

impl OutboundTurns {
  /// Milliseconds of waiting from which a body is logged as delayed.
  const DELAY_LOGGED_MS: u64 = 20;

  /// Enters the schedule with a body of `bytes`, 0 where that is unknown. Returns `None` where the
  /// link's rate is unknown.
  pub(super) fn enter(
    shared: &Rc<Shared>,
    request_id: &RequestId,
    bytes: u64,
    due: Time,
  ) -> Option<Self> {
    let (now, ticket) = (shared.now().time, shared.names.ticket());
    let mut link = shared.outbound_link.borrow_mut();
    link.as_mut()?.schedule.arrive(now, ticket, bytes, due);
    drop(link);
    shared.show_outbound();
    Some(Self {
      arrived_at: now,
      begun_at: None,
      buffered_bytes: 0,
      bytes,
      due,
      request_id: request_id.clone(),
      shared: shared.clone(),
      ticket,
    })
  }

  /// Returns whether the body may be read ahead of its turn.
  pub(super) fn may_read_ahead(&self) -> bool {
    self.shared.outbound_link.borrow().as_ref().is_some_and(OutboundLink::may_read_ahead)
  }

  /// Counts bytes that were read ahead.
  pub(super) fn add_buffered(&mut self, bytes: usize) {
    self.buffered_bytes += bytes;
    if let Some(link) = self.shared.outbound_link.borrow_mut().as_mut() {
      link.add_buffered(bytes);
    }
  }

  /// Takes at most `bytes_max` of the bytes read ahead to send them without a turn. Returns how
  /// many.
  pub(super) fn take_free(&mut self, bytes_max: u64) -> usize {
    let bytes = usize::try_from(bytes_max).unwrap_or(usize::MAX).min(self.buffered_bytes);
    self.shared.count_outbound(bytes as u64);
    self.buffered_bytes -= bytes;
    if let Some(link) = self.shared.outbound_link.borrow_mut().as_mut() {
      link.remove_buffered(bytes);
    }
    self.begun_at.get_or_insert(self.shared.now().time);
    bytes
  }

  /// Returns how many of the bytes read ahead may be sent now, once there are any.
  pub(super) fn poll_turn(&mut self, context: &mut Context) -> Poll<usize> {
    let now = self.shared.now().time;
    let mut borrowed = self.shared.outbound_link.borrow_mut();
    let Some(link) = borrowed.as_mut() else {
      return Poll::Ready(self.buffered_bytes);
    };
    let mut granted = link.schedule.take_grant(self.ticket);
    if granted == 0 {
      link.schedule.ask(self.ticket, self.buffered_bytes as u64);
      link.wakers.insert(self.ticket, context.waker().clone());
      let wait_until = link.give_turns(now);
      granted = link.schedule.take_grant(self.ticket);
      if let Some(until) = wait_until.filter(|_| !link.is_waiting) {
        link.is_waiting = true;
        monoio::spawn(keep_turns(self.shared.clone(), until));
      }
    }
    if granted == 0 {
      return Poll::Pending;
    }
    let bytes = usize::try_from(granted).unwrap_or(usize::MAX).min(self.buffered_bytes);
    self.buffered_bytes -= bytes;
    link.remove_buffered(bytes);
    self.begun_at.get_or_insert(now);
    Poll::Ready(bytes)
  }
}

impl Drop for OutboundTurns {
  fn drop(&mut self) {
    let now = self.shared.now().time;
    if let Some(link) = self.shared.outbound_link.borrow_mut().as_mut() {
      link.schedule.leave(self.ticket);
      link.wakers.remove(&self.ticket);
      link.remove_buffered(self.buffered_bytes);
    }
    self.shared.show_outbound();
    if self.begun_at.is_none() && self.buffered_bytes == 0 {
      return;
    }
    let waited_ms = self.begun_at.unwrap_or(now).since_ms(self.arrived_at);
    if waited_ms < Self::DELAY_LOGGED_MS {
      return;
    }
    info!(
      self.shared.log.logger, #Log::REQUEST, "an answer waited for the box's link";
      "request_id" => %self.request_id, "bytes" => self.bytes, "waited_ms" => waited_ms,
      "took_ms" => now.since_ms(self.arrived_at), "left_bytes" => self.buffered_bytes,
      "begun" => self.begun_at.is_some(), "in_time" => now <= self.due
    );
  }
}

/// Gives turns until no body waits for the link.
async fn keep_turns(shared: Rc<Shared>, first: Time) {
  let mut until = first;
  loop {
    timer::sleep(Duration::from_millis(until.since_ms(shared.now().time))).await;
    let now = shared.now().time;
    let mut borrowed = shared.outbound_link.borrow_mut();
    let Some(link) = borrowed.as_mut() else {
      return;
    };
    let Some(next) = link.give_turns(now) else {
      link.is_waiting = false;
      return;
    };
    until = next;
  }
}
