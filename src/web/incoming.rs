use super::*;

/// The body of a received request. The server connection fills it as bytes arrive.
pub struct Incoming {
  shared: Rc<RefCell<Shared>>,
}

/// The sending half of an [`Incoming`] body, held by the server connection.
pub(super) struct IncomingSender {
  shared: Rc<RefCell<Shared>>,
}

/// Invariant: all bytes that arrived and were not read are in `buffered`, in one piece, however small the parts were in
/// which they came.
#[derive(Default)]
struct Shared {
  buffered: BytesMut,
  /// Bytes beyond which the reader wants no more to be buffered; `None` for the usual limit.
  buffered_max: Option<usize>,
  /// The connections of the process, which count the body once it is taken as a whole.
  connections: Option<Rc<SharedConnections>>,
  /// Whether the body ended completely or with an error. `None` while more may follow.
  end: Option<std::result::Result<(), Error>>,
  exact: Option<u64>,
  is_abandoned: bool,
  /// Whether the connection found no room for further bytes.
  is_full: bool,
  is_wanted: bool,
  reader: Option<std::task::Waker>,
  writer: Option<std::task::Waker>,
}

impl Incoming {
  /// Creates a body and its sending half. `exact` is the size in bytes, if known.
  pub(super) fn new(
    exact: Option<u64>,
    connections: Option<Rc<SharedConnections>>,
  ) -> (Self, IncomingSender) {
    let shared = Shared { connections, exact, ..Shared::default() };
    let shared = Rc::new(RefCell::new(shared));
    (Self { shared: shared.clone() }, IncomingSender { shared })
  }

  /// Waits until the body is whole or no more of it can be buffered. Returns the body if it is whole.
  pub async fn filled(&self) -> Result<Option<Bytes>> {
    std::future::poll_fn(|context| self.poll_filled(context)).await
  }

  /// Waits for the whole body, of at most `bytes_max` bytes.
  pub async fn whole(self, bytes_max: usize) -> Result<Bytes> {
    let too_large = Error::TooLarge { bytes_max };
    if self.shared.borrow().exact.is_some_and(|exact| exact > bytes_max as u64) {
      return Err(too_large);
    }
    self.raise_limit(bytes_max + 1);
    self.filled().await?.filter(|body| body.len() <= bytes_max).ok_or(too_large)
  }

  /// Lets the connection buffer up to `bytes_max` bytes.
  fn raise_limit(&self, bytes_max: usize) {
    let mut shared = self.shared.borrow_mut();
    (shared.buffered_max, shared.is_full) = (Some(bytes_max), false);
    shared.wake_writer();
  }

  fn poll_filled(&self, context: &Context) -> Poll<Result<Option<Bytes>>> {
    let mut shared = self.shared.borrow_mut();
    shared.want();
    match &shared.end {
      Some(Ok(())) => Poll::Ready(Ok(Some(shared.take_whole()))),
      Some(Err(err)) => Poll::Ready(Err(err.clone())),
      None if shared.is_full => Poll::Ready(Ok(None)),
      None => {
        shared.reader = Some(context.waker().clone());
        Poll::Pending
      }
    }
  }
}

impl Drop for Incoming {
  fn drop(&mut self) {
    let mut shared = self.shared.borrow_mut();
    shared.is_abandoned = true;
    shared.buffered = BytesMut::new();
    shared.wake_writer();
  }
}

impl Shared {
  /// Lets the connection fill the buffer.
  fn want(&mut self) {
    if !self.is_wanted {
      self.is_wanted = true;
      self.wake_writer();
    }
  }

  /// Takes the body, which counts as held until it is dropped.
  fn take_whole(&mut self) -> Bytes {
    let body = std::mem::take(&mut self.buffered);
    match &self.connections {
      Some(connections) if !body.is_empty() => connections.hold(body),
      _ => body.freeze(),
    }
  }

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

  /// Whether the buffer has room, of which a body that is not held as a whole may take `allowance_bytes`. If it has
  /// none, the task is woken once it has.
  pub(super) fn has_room(&self, context: &Context, allowance_bytes: usize) -> bool {
    let mut shared = self.shared.borrow_mut();
    let usual_max = Self::BUFFERED_MAX.min(allowance_bytes);
    let room = shared.buffered.len() < shared.buffered_max.unwrap_or(usual_max);
    if !room {
      shared.writer = Some(context.waker().clone());
      shared.is_full = true;
      shared.wake_reader();
    }
    room
  }

  /// Bytes of memory that the buffer takes.
  pub(super) fn held_bytes(&self) -> usize {
    self.shared.borrow().buffered.capacity()
  }

  /// Whether the reader dropped the body.
  pub(super) fn is_abandoned(&self) -> bool {
    self.shared.borrow().is_abandoned
  }

  /// Whether the connection waits until the reader takes what is buffered.
  pub(super) fn is_full(&self) -> bool {
    self.shared.borrow().is_full
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
  pub(super) fn push(&self, data: &[u8]) {
    let mut shared = self.shared.borrow_mut();
    if shared.is_abandoned {
      return;
    }
    shared.buffered.extend_from_slice(data);
    shared.wake_reader();
  }

  /// Ends the body. Later calls have no effect.
  pub(super) fn end(&self, end: std::result::Result<(), Error>) {
    let mut shared = self.shared.borrow_mut();
    if shared.end.is_none() {
      if end.is_err() {
        shared.buffered = BytesMut::new();
      }
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
    shared.want();
    if !shared.buffered.is_empty() {
      let data = std::mem::take(&mut shared.buffered).freeze();
      shared.is_full = false;
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
    shared.buffered.is_empty() && matches!(shared.end, Some(Ok(())))
  }

  fn size_hint(&self) -> http_body::SizeHint {
    let shared = self.shared.borrow();
    shared.exact.map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
  }
}
