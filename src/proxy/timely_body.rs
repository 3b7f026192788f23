use super::*;

/// The body of an answer whose deadline may pass while it is sent.
///
/// Bytes that come are passed on, also late. An answer of which no byte comes after its deadline ends with an error, as
/// its caller would wait for the rest in vain; so does one of unknown size, which may have no end.
pub(super) struct TimelyBody {
  /// The time in milliseconds for which the next byte may take past the deadline.
  idle_ms: u64,
  inner: AnyBody,
  /// Whether the size of the whole answer is known.
  is_sized: bool,
  /// When the next byte is due. Moves on with each byte past the deadline.
  limit: timer::Sleep,
  /// When the deadline is, on the timer's clock.
  overdue_at: Duration,
}

impl TimelyBody {
  /// The time in milliseconds past the deadline after which an answer of unknown size ends.
  const UNSIZED_LATE_MS: u64 = 400;

  /// Bounds the body of an answer that is due `left_ms` from now. `idle_ms` is the time for which the next byte may
  /// take past that.
  pub(super) fn bound(body: AnyBody, left_ms: u64, idle_ms: u64) -> AnyBody {
    let left = Duration::from_millis(left_ms);
    AnyBody::streamed(Self {
      idle_ms,
      is_sized: body.size_hint().exact().is_some(),
      inner: body,
      limit: timer::sleep(left + Duration::from_millis(idle_ms)),
      overdue_at: timer::now() + left,
    })
  }

  /// Notes that a byte came. Returns whether the answer may go on.
  fn note_byte(&mut self) -> bool {
    let now = timer::now();
    if now < self.overdue_at {
      return true;
    }
    self.limit = timer::sleep(Duration::from_millis(self.idle_ms));
    let late_max = Duration::from_millis(Self::UNSIZED_LATE_MS);
    self.is_sized || now < self.overdue_at + late_max
  }

  /// Gives the answer up, and closes the connection that it came on.
  fn give_up(&mut self) -> web::BodyError {
    self.inner = web::empty();
    "the answer was not whole in time after its deadline".into()
  }
}

impl Body for TimelyBody {
  type Data = Bytes;
  type Error = web::BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::BodyError>>> {
    let polled = Pin::new(&mut self.inner).poll_frame(context);
    let may_go_on = match &polled {
      Poll::Pending => Pin::new(&mut self.limit).poll(context).is_pending(),
      Poll::Ready(Some(Ok(_))) => self.note_byte(),
      Poll::Ready(None | Some(Err(_))) => true,
    };
    if may_go_on { polled } else { Poll::Ready(Some(Err(self.give_up()))) }
  }

  fn is_end_stream(&self) -> bool {
    self.inner.is_end_stream()
  }

  fn size_hint(&self) -> http_body::SizeHint {
    self.inner.size_hint()
  }
}
