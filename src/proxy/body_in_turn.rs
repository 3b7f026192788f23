use super::*;

/// A request body that releases its transfer slot once it ends or fails.
pub struct BodyInTurn {
  inner: AnyBody,
  turn: Option<HeldTurn>,
}

impl BodyInTurn {
  /// Wraps a body that holds a transfer slot.
  pub fn new(inner: AnyBody, turn: HeldTurn) -> Self {
    Self { inner, turn: Some(turn) }
  }
}

impl Body for BodyInTurn {
  type Data = Bytes;
  type Error = web::BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::BodyError>>> {
    let polled = Pin::new(&mut self.inner).poll_frame(context);
    let is_over = matches!(&polled, Poll::Ready(None | Some(Err(_))));
    if is_over || self.inner.is_end_stream() {
      self.turn = None;
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
