use super::*;

/// The body of a received request. The server connection fills it as bytes arrive.
pub struct Incoming {
  shared: Rc<RefCell<Shared>>,
}

/// The sending half of an [`Incoming`] body, held by the server connection.
pub(super) struct IncomingSender {
  shared: Rc<RefCell<Shared>>,
}

#[derive(Default)]
struct Shared {
  buffered: usize,
  /// Whether the body ended completely or with an error. `None` while more may follow.
  end: Option<std::result::Result<(), Error>>,
  exact: Option<u64>,
  is_abandoned: bool,
  is_wanted: bool,
  parts: VecDeque<Bytes>,
  reader: Option<std::task::Waker>,
  writer: Option<std::task::Waker>,
}

impl Incoming {
  /// Creates a body and its sending half. `exact` is the size in bytes, if known.
  pub(super) fn new(exact: Option<u64>) -> (Self, IncomingSender) {
    let shared = Rc::new(RefCell::new(Shared { exact, ..Shared::default() }));
    (Self { shared: shared.clone() }, IncomingSender { shared })
  }
}

impl Drop for Incoming {
  fn drop(&mut self) {
    let mut shared = self.shared.borrow_mut();
    shared.is_abandoned = true;
    shared.parts.clear();
    shared.wake_writer();
  }
}

impl Shared {
  fn wake_reader(&mut self) {
    if let Some(reader) = self.reader.take() {
      reader.wake();
    }
  }

  fn wake_writer(&mut self) {
    if let Some(writer) = self.writer.take() {
      writer.wake();
    }
  }
}

impl IncomingSender {
  /// Buffered bytes beyond which the connection stops reading.
  const BUFFERED_MAX: usize = 65_536;

  /// Whether the buffer has room. If not, the task is woken once it has.
  pub(super) fn has_room(&self, context: &Context) -> bool {
    let mut shared = self.shared.borrow_mut();
    let room = shared.buffered < Self::BUFFERED_MAX;
    if !room {
      shared.writer = Some(context.waker().clone());
    }
    room
  }

  /// Whether the reader dropped the body.
  pub(super) fn is_abandoned(&self) -> bool {
    self.shared.borrow().is_abandoned
  }

  /// Whether the reader has polled the body. If not, the task is woken once it does.
  pub(super) fn is_wanted(&self, context: &Context) -> bool {
    let mut shared = self.shared.borrow_mut();
    if !shared.is_wanted {
      shared.writer = Some(context.waker().clone());
    }
    shared.is_wanted
  }

  /// Passes a part of the body to the reader.
  pub(super) fn push(&self, data: Bytes) {
    let mut shared = self.shared.borrow_mut();
    if shared.is_abandoned {
      return;
    }
    shared.buffered += data.len();
    shared.parts.push_back(data);
    shared.wake_reader();
  }

  /// Ends the body. Later calls have no effect.
  pub(super) fn end(&self, end: std::result::Result<(), Error>) {
    let mut shared = self.shared.borrow_mut();
    if shared.end.is_none() {
      shared.end = Some(end);
      shared.wake_reader();
    }
  }
}

impl Drop for IncomingSender {
  fn drop(&mut self) {
    self.end(Err(Error::Broken { reason: "the connection ended before the body".into() }));
  }
}

impl Body for Incoming {
  type Data = Bytes;
  type Error = Error;

  fn poll_frame(
    self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<std::result::Result<http_body::Frame<Bytes>, Error>>> {
    let mut shared = self.shared.borrow_mut();
    if !shared.is_wanted {
      shared.is_wanted = true;
      shared.wake_writer();
    }
    if let Some(data) = shared.parts.pop_front() {
      shared.buffered -= data.len();
      shared.wake_writer();
      return Poll::Ready(Some(Ok(http_body::Frame::data(data))));
    }
    match &shared.end {
      Some(Ok(())) => Poll::Ready(None),
      Some(Err(err)) => Poll::Ready(Some(Err(err.clone()))),
      None => {
        shared.reader = Some(context.waker().clone());
        Poll::Pending
      }
    }
  }

  fn is_end_stream(&self) -> bool {
    let shared = self.shared.borrow();
    shared.parts.is_empty() && matches!(shared.end, Some(Ok(())))
  }

  fn size_hint(&self) -> http_body::SizeHint {
    let shared = self.shared.borrow();
    shared.exact.map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
  }
}
