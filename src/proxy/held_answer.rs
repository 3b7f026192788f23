use super::*;

/// The rest of an answer whose reader has stalled, read into memory as fast as it comes. It frees the slot of the answer
/// and loses nothing of it.
pub(super) struct HeldAnswer {
  /// Ends the reading when dropped.
  _reading: futures_channel::oneshot::Sender<()>,
  /// Counts the rest as held.
  _reserved: web::ReservedBytes,
  rest: Rc<RefCell<Rest>>,
}

#[derive(Default)]
struct Rest {
  /// What came and is not passed on yet.
  bytes: BytesMut,
  end: Option<std::result::Result<(), web::BodyError>>,
  /// Bytes that are not passed on yet, also those to come.
  left_bytes: u64,
  reader: Option<std::task::Waker>,
}

impl HeldAnswer {
  /// Largest part in bytes that is passed on at once.
  const PIECE_BYTES: usize = 65_536;

  /// Reads the rest of an answer from now on. Returns `None` if its size is unknown or too large for the room that the
  /// process has left.
  pub(super) fn begin(shared: &Shared, body: AnyBody) -> Option<AnyBody> {
    let left_bytes = body.size_hint().exact()?;
    let reserved = shared.connections.reserve(usize::try_from(left_bytes).ok()?)?;
    let rest = Rc::new(RefCell::new(Rest { left_bytes, ..Rest::default() }));
    let (reading, dropped) = futures_channel::oneshot::channel();
    let filling = Box::pin(fill(rest.clone(), body));
    monoio::spawn(async move { drop(futures_util::future::select(filling, dropped).await) });
    Some(AnyBody::streamed(Self { _reading: reading, _reserved: reserved, rest }))
  }
}

/// Reads a body to its end.
async fn fill(rest: Rc<RefCell<Rest>>, mut body: AnyBody) {
  let end = loop {
    match body.frame().await {
      Some(Ok(frame)) => {
        if let Ok(data) = frame.into_data() {
          rest.borrow_mut().put(&data);
        }
      }
      Some(Err(err)) => break Err(err),
      None => break Ok(()),
    }
  };
  rest.borrow_mut().finish(end);
}

impl Rest {
  fn put(&mut self, data: &[u8]) {
    self.bytes.extend_from_slice(data);
    self.wake();
  }

  fn finish(&mut self, end: std::result::Result<(), web::BodyError>) {
    self.end = Some(end);
    self.wake();
  }

  fn wake(&mut self) {
    if let Some(reader) = self.reader.take() {
      reader.wake();
    }
  }
}

impl Body for HeldAnswer {
  type Data = Bytes;
  type Error = web::BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::BodyError>>> {
    let mut rest = self.rest.borrow_mut();
    if !rest.bytes.is_empty() {
      let length = rest.bytes.len().min(Self::PIECE_BYTES);
      let piece = rest.bytes.split_to(length).freeze();
      rest.left_bytes = rest.left_bytes.saturating_sub(piece.len() as u64);
      return Poll::Ready(Some(Ok(http_body::Frame::data(piece))));
    }
    match rest.end.take() {
      Some(Ok(())) => {
        rest.end = Some(Ok(()));
        Poll::Ready(None)
      }
      Some(Err(err)) => Poll::Ready(Some(Err(err))),
      None => {
        rest.reader = Some(context.waker().clone());
        Poll::Pending
      }
    }
  }

  fn is_end_stream(&self) -> bool {
    let rest = self.rest.borrow();
    rest.bytes.is_empty() && matches!(rest.end, Some(Ok(())))
  }

  fn size_hint(&self) -> http_body::SizeHint {
    http_body::SizeHint::with_exact(self.rest.borrow().left_bytes)
  }
}
