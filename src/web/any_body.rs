use super::*;

/// A type-erased message body. Not `Send`: the daemon runs on a single thread.
pub struct AnyBody {
  inner: Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>,
  /// Values that live as long as the body.
  guards: Vec<Box<dyn std::any::Any>>,
  /// Bytes of the body that were in memory when it was made.
  held_bytes: usize,
}

impl AnyBody {
  /// Wraps a body without buffering it.
  pub fn streamed<B>(body: B) -> Self
  where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<BodyError>,
  {
    Self { inner: Box::pin(body.map_err(Into::into)), guards: Vec::new(), held_bytes: 0 }
  }

  /// A body that is in memory as a whole.
  pub fn held(bytes: Bytes) -> Self {
    let held_bytes = bytes.len();
    Self { held_bytes, ..Self::streamed(Full::new(bytes)) }
  }

  /// Bytes of the body that were in memory when it was made; 0 for a streamed one.
  pub fn held_bytes(&self) -> usize {
    self.held_bytes
  }

  /// Ties `guard` to the body: it is dropped when the body is.
  #[must_use]
  pub fn with_guard(mut self, guard: impl std::any::Any) -> Self {
    self.guards.push(Box::new(guard));
    self
  }

  /// The first value of a type that is tied to the body.
  pub fn guard<T: 'static>(&self) -> Option<&T> {
    self.guards.iter().find_map(|guard| guard.downcast_ref())
  }
}

impl Body for AnyBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, BodyError>>> {
    self.inner.as_mut().poll_frame(context)
  }

  fn is_end_stream(&self) -> bool {
    self.inner.is_end_stream()
  }

  fn size_hint(&self) -> http_body::SizeHint {
    self.inner.size_hint()
  }
}
