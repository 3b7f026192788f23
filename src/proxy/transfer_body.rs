use super::*;

/// A request body that releases its transfer slot once it ends or fails.
pub struct TransferBody {
  inner: AnyBody,
  slot: Option<TransferSlot>,
}

impl TransferBody {
  /// Wraps a body that holds a transfer slot.
  pub fn new(inner: AnyBody, slot: TransferSlot) -> Self {
    Self { inner, slot: Some(slot) }
  }
}

impl Body for TransferBody {
  type Data = Bytes;
  type Error = web::BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::BodyError>>> {
    let polled = Pin::new(&mut self.inner).poll_frame(context);
    let is_over = matches!(&polled, Poll::Ready(None | Some(Err(_))));
    if is_over || self.inner.is_end_stream() {
      self.slot = None;
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
