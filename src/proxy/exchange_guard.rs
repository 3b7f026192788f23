use super::*;

/// Lists a request as open until the last byte of its answer is sent or it is dropped.
pub(super) struct ExchangeGuard {
  id: ExchangeId,
  shared: Rc<Shared>,
}

impl ExchangeGuard {
  /// Opens the exchange of a request that arrived.
  pub(super) fn begin(shared: &Rc<Shared>, from: Sender, request_id: &RequestId) -> Self {
    let now = shared.now().time;
    let id = shared.open_exchanges.borrow_mut().begin(now, from, request_id.clone());
    Self { id, shared: shared.clone() }
  }

  /// Tracks the answer while it is sent, and its transfer if it holds a slot.
  pub(super) fn deliver(
    self,
    response: Response<AnyBody>,
    transfer: Option<Rc<SlotTransfer>>,
  ) -> Response<AnyBody> {
    response.map(|body| AnyBody::streamed(TrackedBody::new(body, self, transfer)))
  }

  /// Records how much of the answer was sent.
  pub(super) fn record_sent(&self, answer: OpenAnswer) {
    self.shared.open_exchanges.borrow_mut().update_answer(self.id, answer);
  }

  /// Logs an answer that is cut off before its end.
  pub(super) fn log_cut_off(&self, answer: OpenAnswer, why: &str) {
    let exchanges = self.shared.open_exchanges.borrow();
    let Some(exchange) = exchanges.get(self.id) else {
      return;
    };
    let age_ms = self.shared.now().time.since_ms(exchange.started_at);
    info!(
      self.shared.log.logger, #Log::REQUEST, "an answer was cut off";
      "request_id" => %exchange.request_id, "to" => %exchange.from, "age_ms" => age_ms,
      "given_bytes" => answer.sent_bytes, "whole_bytes" => answer.total_bytes, "why" => why
    );
  }
}

impl Drop for ExchangeGuard {
  fn drop(&mut self) {
    self.shared.open_exchanges.borrow_mut().end(self.id);
  }
}
