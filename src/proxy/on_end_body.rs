use super::*;

/// A body that reports once how it ended.
pub struct OnEndBody {
  inner: ResponseBody,
  on_end: Option<Box<dyn FnOnce(RunEnd)>>,
}

impl OnEndBody {
  /// Wraps a body and calls `on_end` when the body ends or is dropped.
  pub fn new(inner: ResponseBody, on_end: impl FnOnce(RunEnd) + 'static) -> Self {
    Self { inner, on_end: Some(Box::new(on_end)) }
  }

  fn end(&mut self, end: RunEnd) {
    if let Some(on_end) = self.on_end.take() {
      on_end(end);
    }
  }
}

impl Body for OnEndBody {
  type Data = Bytes;
  type Error = web::Error;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::Error>>> {
    let polled = Pin::new(&mut self.inner).poll_frame(context);
    match &polled {
      Poll::Ready(None) => self.end(RunEnd::Completed),
      Poll::Ready(Some(Err(_))) => self.end(RunEnd::ConnectionLost),
      _ => {}
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

impl Drop for OnEndBody {
  fn drop(&mut self) {
    let is_whole = self.inner.is_end_stream();
    self.end(if is_whole { RunEnd::Completed } else { RunEnd::Cancelled });
  }
}
