use super::*;

/// The body of an answer that is being sent. Counts the bytes sent and logs if the answer is cut
/// off.
pub(super) struct TrackedBody {
  answer: OpenAnswer,
  exchange: ExchangeGuard,
  /// Bytes that were passed on last, and may not be sent yet.
  given_bytes: u64,
  inner: AnyBody,
  /// Whether sending has begun and not yet ended.
  is_under_way: bool,
  /// Its transfer, if it holds a slot of the backend server beside this daemon.
  transfer: Option<Rc<SlotTransfer>>,
}

impl TrackedBody {
  /// Wraps the body of the answer of an exchange.
  pub(super) fn new(
    inner: AnyBody,
    exchange: ExchangeGuard,
    transfer: Option<Rc<SlotTransfer>>,
  ) -> Self {
    let answer = OpenAnswer { sent_bytes: 0, total_bytes: inner.size_hint().exact() };
    Self { answer, exchange, given_bytes: 0, inner, is_under_way: false, transfer }
  }

  /// Notes that the connection to the peer took what it was given last.
  fn note_taken(&mut self) {
    let taken_bytes = std::mem::take(&mut self.given_bytes);
    if let Some(transfer) = &self.transfer {
      transfer.peer_moved(taken_bytes);
    }
  }

  /// Notes bytes that are given to the connection to the peer.
  fn note_given(&mut self, bytes: u64) {
    self.answer.sent_bytes += bytes;
    self.exchange.record_sent(self.answer);
    self.given_bytes = bytes;
    if let Some(transfer) = &self.transfer {
      transfer.await_peer();
    }
  }
}

impl Body for TrackedBody {
  type Data = Bytes;
  type Error = web::BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::BodyError>>> {
    self.is_under_way = true;
    self.note_taken();
    let polled = Pin::new(&mut self.inner).poll_frame(context);
    match &polled {
      Poll::Ready(None) => self.is_under_way = false,
      Poll::Ready(Some(Ok(frame))) => {
        self.note_given(frame.data_ref().map_or(0, |data| data.len() as u64));
      }
      Poll::Ready(Some(Err(err))) => {
        self.is_under_way = false;
        self.exchange.log_cut_off(self.answer, &err.to_string());
      }
      Poll::Pending => {}
    }
    polled
  }

  fn is_end_stream(&self) -> bool {
    self.inner.is_end_stream()
  }

  fn size_hint(&self) -> http_body::SizeHint {
    self.inner.size_hint()
  }
}

impl Drop for TrackedBody {
  fn drop(&mut self) {
    if self.is_under_way && !self.inner.is_end_stream() {
      self.exchange.log_cut_off(self.answer, "its connection closed before the end");
    }
  }
}
