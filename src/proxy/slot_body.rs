use super::{slot_transfer::TransferKind, *};

/// The body of a request on its way to the backend server, or that of its answer. Can be taken away from whoever reads
/// it, so that its slot is free. The rest of an answer is then held in memory for its reader, if there is room.
pub(super) struct SlotBody {
  inner: Rc<RefCell<Inner>>,
  kind: TransferKind,
  transfer: Rc<SlotTransfer>,
}

/// A body that can be replaced while it is read.
struct Inner {
  body: Option<AnyBody>,
  /// Who read it last.
  reader: Option<std::task::Waker>,
}

impl Inner {
  fn replace(&mut self, body: Option<AnyBody>) {
    self.body = body;
    if let Some(reader) = self.reader.take() {
      reader.wake();
    }
  }
}

impl SlotBody {
  /// Watches the body of a request that holds a slot. `release` is called as it is taken away.
  pub(super) fn upload(
    shared: &Rc<Shared>,
    request_id: &RequestId,
    body: AnyBody,
    release: impl FnOnce() + 'static,
  ) -> AnyBody {
    AnyBody::streamed(Self::watch(shared, request_id, body, TransferKind::Upload, release))
  }

  /// Watches the body of an answer that holds a slot. Its sender notes with [`SlotTransfer::of`] how fast it is read.
  pub(super) fn answer(shared: &Rc<Shared>, request_id: &RequestId, body: AnyBody) -> AnyBody {
    let watched = Self::watch(shared, request_id, body, TransferKind::Answer, || {});
    let transfer = watched.transfer.clone();
    AnyBody::streamed(watched).with_guard(transfer)
  }

  fn watch(
    shared: &Rc<Shared>,
    request_id: &RequestId,
    body: AnyBody,
    kind: TransferKind,
    release: impl FnOnce() + 'static,
  ) -> Self {
    let inner = Rc::new(RefCell::new(Inner { body: Some(body), reader: None }));
    let (taken, holder) = (inner.clone(), shared.clone());
    let transfer = SlotTransfer::begin(shared, request_id, kind, move || {
      let body = taken.borrow_mut().body.take();
      let held = body.filter(|_| kind == TransferKind::Answer);
      let held = held.and_then(|body| HeldAnswer::begin(&holder, body));
      let is_held = held.is_some();
      taken.borrow_mut().replace(held);
      release();
      is_held
    });
    Self { inner, kind, transfer }
  }

  /// Notes what a poll of an upload tells of the caller that sends it.
  fn note_upload<E>(&self, polled: &Poll<Option<std::result::Result<http_body::Frame<Bytes>, E>>>) {
    match polled {
      Poll::Pending => self.transfer.await_peer(),
      Poll::Ready(Some(Ok(frame))) => {
        self.transfer.peer_moved(frame.data_ref().map_or(0, |data| data.len() as u64));
      }
      Poll::Ready(None | Some(Err(_))) => self.transfer.peer_moved(0),
    }
  }
}

impl Body for SlotBody {
  type Data = Bytes;
  type Error = web::BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, web::BodyError>>> {
    let mut inner = self.inner.borrow_mut();
    inner.reader.get_or_insert_with(|| context.waker().clone()).clone_from(context.waker());
    let Some(body) = inner.body.as_mut() else {
      return Poll::Ready(Some(Err("its slot was given to others, as it stalled".into())));
    };
    let polled = Pin::new(body).poll_frame(context);
    if self.kind == TransferKind::Upload {
      self.note_upload(&polled);
    }
    polled
  }

  fn is_end_stream(&self) -> bool {
    self.inner.borrow().body.as_ref().is_some_and(Body::is_end_stream)
  }

  fn size_hint(&self) -> http_body::SizeHint {
    let inner = self.inner.borrow();
    inner.body.as_ref().map_or_else(http_body::SizeHint::new, Body::size_hint)
  }
}

impl Drop for SlotBody {
  fn drop(&mut self) {
    self.transfer.end();
  }
}
