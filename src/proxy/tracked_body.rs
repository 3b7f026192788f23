use super::*;

/// The body of an answer that is being sent. Counts the bytes sent and logs if the answer is cut
/// off.
pub(super) struct TrackedBody {
  answer: OpenAnswer,
  exchange: ExchangeGuard,
  inner: AnyBody,
  /// Whether sending has begun and not yet ended.
  is_under_way: bool,
}

impl TrackedBody {
  /// Wraps the body of the answer of an exchange.
  pub(super) fn new(inner: AnyBody, exchange: ExchangeGuard) -> Self {
    let answer = OpenAnswer { sent_bytes: 0, total_bytes: inner.size_hint().exact() };
    Self { answer, exchange, inner, is_under_way: false }
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
    let polled = Pin::new(&mut self.inner).poll_frame(context);
    match &polled {
      Poll::Ready(None) => self.is_under_way = false,
      Poll::Ready(Some(Ok(frame))) => {
        self.answer.sent_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        self.exchange.record_sent(self.answer);
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
