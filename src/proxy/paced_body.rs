use super::{forward::ANSWER_HEAD_BYTES, *};

/// The body of a large answer, sent in pieces as the box's network link has room for them.
///
/// It is read ahead of its turns, so that the backend server's slot is free as soon as the answer
/// is whole, and not only once the link has carried it.
pub(super) struct PacedBody {
  /// What was read ahead and is not sent, in one piece: many small ones take several times their bytes.
  buffered: BytesMut,
  /// How reading ended, once it did. Passed on after all that was read is sent.
  end: Option<std::result::Result<(), web::BodyError>>,
  /// Bytes that may still pass without a turn: an answer of unknown size counts as small until it
  /// has sent more than small ones have.
  free_bytes: u64,
  inner: AnyBody,
  /// Bytes that are left to send, if known.
  left_bytes: Option<u64>,
  turns: OutboundTurns,
}

impl PacedBody {
  /// Paces the body of an answer to another box or a remote caller. That of a small answer passes
  /// at once.
  pub(super) fn pace(
    shared: &Rc<Shared>,
    request_id: &RequestId,
    due: Time,
    response: Response<AnyBody>,
  ) -> Response<AnyBody> {
    let size = response.body().size_hint().exact();
    shared.count_outbound(ANSWER_HEAD_BYTES);
    match size {
      Some(bytes) if bytes <= AnswerBudget::SMALL_BYTES => {
        shared.count_outbound(bytes);
        response
      }
      _ => {
        let turns = OutboundTurns::enter(shared, request_id, size.unwrap_or_default(), due);
        response.map(|inner| match turns {
          Some(turns) => AnyBody::streamed(Self::new(inner, size, turns)),
          None => inner,
        })
      }
    }
  }

  fn new(inner: AnyBody, left_bytes: Option<u64>, turns: OutboundTurns) -> Self {
    let free_bytes = if left_bytes.is_some() { 0 } else { AnswerBudget::SMALL_BYTES };
    Self { buffered: BytesMut::new(), end: None, free_bytes, inner, left_bytes, turns }
  }

  /// Reads what is available, as far as it may be read ahead.
  fn read_ahead(&mut self, context: &mut Context) {
    while self.end.is_none() && (self.buffered.is_empty() || self.turns.may_read_ahead()) {
      match Pin::new(&mut self.inner).poll_frame(context) {
        Poll::Pending => return,
        Poll::Ready(None) => self.end = Some(Ok(())),
        Poll::Ready(Some(Err(err))) => self.end = Some(Err(err)),
        Poll::Ready(Some(Ok(frame))) => {
          if let Some(data) = frame.into_data().ok().filter(|data| !data.is_empty()) {
            self.turns.add_buffered(data.len());
            self.buffered.extend_from_slice(&data);
          }
        }
      }
    }
  }

  /// Returns at most `bytes` of what was read ahead.
  fn take(&mut self, bytes: usize) -> Bytes {
    let bytes = bytes.min(self.buffered.len());
    let piece = Bytes::copy_from_slice(&self.buffered[..bytes]);
    self.buffered.advance(bytes);
    if self.buffered.is_empty() {
      self.buffered = BytesMut::new();
    }
    self.left_bytes = self.left_bytes.map(|left| left.saturating_sub(bytes as u64));
    piece
  }
}

impl Body for PacedBody {
  type Data = Bytes;
  type Error = web::BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::BodyError>>> {
    self.read_ahead(context);
    if self.buffered.is_empty() {
      return match self.end.take() {
        None => Poll::Pending,
        Some(Ok(())) => {
          self.end = Some(Ok(()));
          Poll::Ready(None)
        }
        Some(Err(err)) => {
          self.end = Some(Ok(()));
          Poll::Ready(Some(Err(err)))
        }
      };
    }
    if self.free_bytes > 0 {
      let most_bytes = self.free_bytes;
      let bytes = self.turns.take_free(most_bytes);
      self.free_bytes -= bytes as u64;
      return Poll::Ready(Some(Ok(http_body::Frame::data(self.take(bytes)))));
    }
    match self.turns.poll_turn(context) {
      Poll::Pending => Poll::Pending,
      Poll::Ready(bytes) => Poll::Ready(Some(Ok(http_body::Frame::data(self.take(bytes))))),
    }
  }

  fn is_end_stream(&self) -> bool {
    self.buffered.is_empty() && (self.end.is_some() || self.inner.is_end_stream())
  }

  fn size_hint(&self) -> http_body::SizeHint {
    self.left_bytes.map_or_else(http_body::SizeHint::new, http_body::SizeHint::with_exact)
  }
}
