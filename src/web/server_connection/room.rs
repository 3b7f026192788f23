//! What a connection holds for its client, and how it ends where the process has no room for that.

use super::*;

impl Exchange {
  /// Largest part of a streamed response body in bytes that may be in memory before it is written.
  const READY_BYTES_MAX: u64 = 65_536;

  /// Bytes of memory that the exchange takes.
  fn held_bytes(&self) -> usize {
    let body_bytes = match &self.response {
      ResponseState::Ready(response) => Self::ready_bytes(response.body()),
      ResponseState::Writing(body, _) => body.held_bytes(),
      ResponseState::Awaited(_) | ResponseState::Waiting(_) => 0,
    };
    ServerConnection::EXCHANGE_BYTES + body_bytes
  }

  /// Bytes of a response body that may be in memory before it is written.
  fn ready_bytes(body: &AnyBody) -> usize {
    let exact = body.size_hint().exact().unwrap_or_default();
    let ahead = usize::try_from(exact.min(Self::READY_BYTES_MAX)).unwrap_or_default();
    ahead.max(body.held_bytes())
  }
}

impl ServerConnection {
  /// Memory that a request takes while it is handled, besides bodies, in bytes.
  const EXCHANGE_BYTES: usize = 8_192;
  /// Memory that a connection takes by itself, in bytes.
  const OWN_BYTES: usize = 2_048;
  /// When a client may come back whose request found no room, in seconds.
  const RETRY_AFTER_S: &str = "1";
  /// More refused requests than others after which a client that keeps sending ahead is disconnected: it does not wait as
  /// it is told. What it sent behind them is not read.
  const REFUSED_AHEAD_MAX: u32 = 8;

  /// Ends the connection if it was told to. A request that is still being received gets an answer first, if that can be
  /// written soon.
  pub(super) fn check_evicted(&mut self, context: &mut Context) -> std::result::Result<(), Closed> {
    if let Some(timer) = &mut self.eviction_timer {
      return if timer.as_mut().poll(context).is_ready() { Err(Closed) } else { Ok(()) };
    }
    let Poll::Ready(eviction) = self.entry.poll_eviction(context) else {
      return Ok(());
    };
    if self.phase() != Phase::Receiving || !self.socket.outbound.is_empty() {
      return Err(Closed);
    }
    self.is_closing = true;
    let reason = match eviction {
      Eviction::Connections => "this box has too many connections",
      Eviction::Memory => "this box holds too much for its clients",
    };
    match std::mem::replace(&mut self.reading, Reading::Stopped) {
      Reading::Body { sender, .. } => sender.end(Err(Error::NoRoom { reason: reason.into() })),
      Reading::Head | Reading::Stopped => self.refuse_busy(reason),
    }
    self.socket.inbound.clear();
    self.socket.shrink();
    let pause = Duration::from_millis(Self::LINGER_MS);
    let timer = self.eviction_timer.insert(Box::pin(timer::sleep(pause)));
    // Polled once, so that it wakes the task.
    if timer.as_mut().poll(context).is_ready() { Err(Closed) } else { Ok(()) }
  }

  /// Tells the entry what the connection holds and waits for.
  pub(super) fn report(&mut self) {
    if self.socket.inbound.is_empty() || self.socket.outbound.is_empty() {
      self.socket.shrink();
    }
    let (held_bytes, phase) = (self.held_bytes(), self.phase());
    self.entry.report(held_bytes, phase);
  }

  /// Bytes of memory that the connection holds.
  fn held_bytes(&mut self) -> usize {
    let body_bytes = match &self.reading {
      Reading::Body { sender, .. } => sender.held_bytes(),
      Reading::Head | Reading::Stopped => 0,
    };
    let exchanges_bytes: usize = self.exchanges.iter().map(Exchange::held_bytes).sum();
    Self::OWN_BYTES + self.socket.held_bytes() + body_bytes + exchanges_bytes
  }

  /// What the connection waits for.
  fn phase(&self) -> Phase {
    if !self.socket.outbound.is_empty() || self.linger_timer.is_some() {
      return Phase::Sending;
    }
    match &self.reading {
      Reading::Body { sender, sends_continue: false, .. } if !sender.is_full() => Phase::Receiving,
      _ if !self.exchanges.is_empty() => Phase::Working,
      _ if self.socket.inbound.is_empty() => Phase::Idle,
      _ => Phase::Receiving,
    }
  }

  /// Unparsed bytes beyond which the connection stops reading. A head that is read next must fit.
  pub(super) fn inbound_max(&self) -> usize {
    let allowance_bytes = Self::INBOUND_MAX.min(self.entry.allowance_bytes());
    if self.exchanges.is_empty() && self.is_in_head {
      let head_bytes_max = self.limits.get().head_bytes_max.saturating_add(1);
      return allowance_bytes.max(head_bytes_max);
    }
    allowance_bytes
  }

  /// Whether another request may start beside those that are being handled.
  pub(super) fn has_room_beside(&mut self) -> bool {
    let is_beside = !self.exchanges.is_empty();
    !is_beside
      || self.exchanges.len() < Self::EXCHANGES_MAX
        && self.held_bytes() < self.entry.allowance_bytes()
  }

  /// Refuses a request that is still being received: it has not run.
  fn refuse_busy(&mut self, reason: &str) {
    self.refuse(StatusCode::SERVICE_UNAVAILABLE, reason);
    let Some(Exchange { response: ResponseState::Ready(response), .. }) = self.exchanges.back_mut()
    else {
      return;
    };
    let retry_after = HeaderValue::from_static(Self::RETRY_AFTER_S);
    response.headers_mut().insert(http::header::RETRY_AFTER, retry_after);
  }

  /// Closes the connection after its present requests if most of them are refused and the client sends ahead.
  pub(super) fn check_refused_ahead(&mut self) {
    let Some(Exchange { response: ResponseState::Ready(response), .. }) = self.exchanges.front()
    else {
      return;
    };
    let refused = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    let is_refused = refused.contains(&response.status()) && !self.socket.inbound.is_empty();
    let fewer = self.refused_ahead.saturating_sub(1);
    self.refused_ahead = if is_refused { self.refused_ahead + 1 } else { fewer };
    self.is_closing |= self.refused_ahead >= Self::REFUSED_AHEAD_MAX;
  }
}
