use super::*;

use crate::net::Turns;

use super::{
  http1::{BodyDecoder, BodyEncoder, Decoded, Fault, RequestHead, ResponseHead},
  incoming::IncomingSender,
  server::Stopped,
  socket::{Read, Socket},
};

mod room;

/// The function that a server calls for each request.
pub(super) type Handler = Rc<dyn Fn(Request<Incoming>) -> Handling>;

/// A request that is being handled.
type Handling = Pin<Box<dyn Future<Output = Response<AnyBody>>>>;

/// A client's connection.
///
/// Pipelined requests with safe methods run concurrently; responses are sent in order. The
/// connection is read ahead, up to a limit, so that a disconnect of the client is noticed and
/// cancels its requests.
///
/// What it holds for its client is bounded by its entry's allowance, which shrinks as all connections hold more; a head
/// and a body that is held as a whole may exceed that, until the connection is told to end.
pub(super) struct ServerConnection {
  client_location: ClientLocation,
  /// Its entry among the connections of the process.
  entry: OpenConnection,
  /// Once it was told to end: until when the answer to a refused request may be written.
  eviction_timer: Option<Pin<Box<timer::Sleep>>>,
  /// Requests whose responses are not complete, oldest first.
  exchanges: VecDeque<Exchange>,
  handler: Handler,
  /// The requests that may start before other connections go on.
  heads: Turns,
  /// Whether no further request is read.
  is_closing: bool,
  /// Whether the bytes read are the start of a head that is not whole.
  is_in_head: bool,
  limits: Rc<Cell<ServerLimits>>,
  /// After the last response: until when further bytes of the client are read and discarded.
  /// Closing earlier would reset the connection, and the client might lose the response.
  linger_timer: Option<Pin<Box<timer::Sleep>>>,
  reading: Reading,
  /// Refused requests behind which the client had sent further ones already, less the others.
  refused_ahead: u32,
  socket: Socket,
  stopped: Option<Stopped>,
  /// The timeout of an idle connection, or of a request head that has begun.
  timer: Option<Pin<Box<timer::Sleep>>>,
  /// Whether `timer` bounds a request head.
  timer_for_head: bool,
}

enum Reading {
  /// The body of the newest request.
  Body {
    decoder: BodyDecoder,
    sender: IncomingSender,
    sends_continue: bool,
  },
  Head,
  /// No further request can be read, since its start is unknown.
  Stopped,
}

struct Exchange {
  /// Whether the client wants the connection closed after the response.
  close: bool,
  is_head: bool,
  response: ResponseState,
  supports_chunked: bool,
}

enum ResponseState {
  /// The handler is running.
  Awaited(Handling),
  /// The response is ready, and no byte of it is written.
  Ready(Response<AnyBody>),
  /// The request waits until it is the oldest of the connection.
  Waiting(Option<Request<Incoming>>),
  /// The head is written, and the body is being written.
  Writing(AnyBody, BodyEncoder),
}

/// The connection ended, or has to be closed.
struct Closed;

impl ServerConnection {
  /// Milliseconds that a client has to read the last response and close the connection.
  const LINGER_MS: u64 = 500;
  /// Concurrent requests of a connection. Further ones wait in the socket.
  const EXCHANGES_MAX: usize = 32;
  /// Largest response in bytes for a client that does not support chunked encoding.
  const BUFFERED_RESPONSE_MAX: usize = 8 << 20;
  /// Requests that start in a row before a rest, since each may be answered at once. Connections that are busy at the same
  /// time share them, so that a round of all of them stays short.
  const HEADS_MAX: u32 = 64;
  /// Unparsed bytes beyond which the connection stops reading.
  const INBOUND_MAX: usize = 65_536;
  /// Unwritten bytes beyond which a response body is not polled for more.
  const OUTBOUND_MAX: usize = 65_536;

  pub(super) fn new(
    socket: Socket,
    client_location: ClientLocation,
    handler: Handler,
    limits: Rc<Cell<ServerLimits>>,
    stopped: Stopped,
    entry: OpenConnection,
  ) -> Self {
    Self {
      entry,
      eviction_timer: None,
      exchanges: VecDeque::new(),
      handler,
      heads: Turns::new(Self::HEADS_MAX),
      is_closing: false,
      is_in_head: false,
      limits,
      linger_timer: None,
      client_location,
      reading: Reading::Head,
      refused_ahead: 0,
      socket,
      stopped: Some(stopped),
      timer: None,
      timer_for_head: false,
    }
  }

  /// Reads, parses, runs handlers and writes until no step makes progress.
  fn advance(&mut self, context: &mut Context) -> std::result::Result<(), Closed> {
    self.check_evicted(context)?;
    if self.linger_timer.is_some() {
      return self.linger(context);
    }
    self.check_stopped(context)?;
    loop {
      let read = self.read(context)?;
      let parsed = self.parse(context);
      self.run_handlers(context);
      let wrote = self.write(context)?;
      if !read && !parsed && !wrote {
        break;
      }
    }
    self.heads.end();
    self.report();
    if self.linger_timer.is_some() { Ok(()) } else { self.check_timer(context) }
  }

  /// Closes the connection after its present requests once the server stops. A request that has arrived is among them,
  /// though it is not read yet.
  fn check_stopped(&mut self, context: &mut Context) -> std::result::Result<(), Closed> {
    let is_stopped =
      self.stopped.as_mut().is_some_and(|stopped| Pin::new(stopped).poll(context).is_ready());
    if is_stopped {
      self.stopped = None;
      while self.read(context)? {}
      self.parse(context);
      self.is_closing = true;
    }
    Ok(())
  }

  /// Reads available bytes. It reads ahead, up to a limit, so that a disconnect is noticed.
  fn read(&mut self, context: &mut Context) -> std::result::Result<bool, Closed> {
    let room = self.inbound_max().saturating_sub(self.socket.inbound.len());
    if room == 0 {
      return Ok(false);
    }
    match self.socket.poll_read_at_most(context, room) {
      Poll::Pending => Ok(false),
      Poll::Ready(Ok(Read::Data)) => Ok(true),
      Poll::Ready(Ok(Read::End) | Err(_)) => Err(Closed),
    }
  }

  /// Parses the bytes read into requests and bodies. Returns whether it made progress.
  fn parse(&mut self, context: &mut Context) -> bool {
    let mut advanced = false;
    loop {
      let stepped = match &self.reading {
        Reading::Body { .. } => self.parse_body(context),
        Reading::Head => self.parse_head(context),
        Reading::Stopped => false,
      };
      if !stepped {
        return advanced;
      }
      advanced = true;
    }
  }

  fn parse_head(&mut self, context: &mut Context) -> bool {
    let busy = u32::try_from(self.entry.connections().busy_count()).unwrap_or(u32::MAX);
    self.heads.set_steps_max((Self::HEADS_MAX / busy.max(1)).max(1));
    if self.is_closing
      || self.socket.inbound.is_empty()
      || !self.has_room_beside()
      || self.heads.poll_step(context).is_pending()
    {
      return false;
    }
    let limits = self.limits.get();
    let taken =
      RequestHead::take(&mut self.socket.inbound, limits.head_bytes_max, limits.body_bytes_max);
    self.is_in_head = matches!(taken, Ok(None)) && !self.socket.inbound.is_empty();
    match taken {
      Ok(Some(head)) => {
        self.timer = None;
        self.heads.count_step();
        self.start(head);
        true
      }
      Ok(None) => false,
      Err(fault) => {
        self.refuse(fault.status(), &fault.to_string());
        true
      }
    }
  }

  fn start(&mut self, head: RequestHead) {
    let connections = self.entry.connections().clone();
    let (body, sender) = Incoming::new(head.decoder.exact(), Some(connections));
    let is_safe = head.parts.method.is_safe();
    let exchange = Exchange {
      response: ResponseState::Waiting(None),
      close: head.close,
      is_head: head.parts.method == Method::HEAD,
      supports_chunked: head.supports_chunked,
    };
    let mut request = Request::from_parts(head.parts, body);
    request.extensions_mut().insert(self.client_location);
    // An unsafe request starts only after all earlier ones are answered: a failure of these would
    // close the connection, and the client might repeat the request.
    let response = if is_safe || self.exchanges.is_empty() {
      ResponseState::Awaited(self.handle(request, exchange.supports_chunked))
    } else {
      ResponseState::Waiting(Some(request))
    };
    self.is_closing |= exchange.close;
    self.exchanges.push_back(Exchange { response, ..exchange });
    if head.decoder.is_done() {
      sender.end(Ok(()));
    } else {
      let sends_continue = head.expects_continue;
      self.reading = Reading::Body { decoder: head.decoder, sender, sends_continue };
    }
  }

  /// Starts the handler. For a client without chunked encoding, the response is buffered to get its
  /// length: one that ends with the connection would look complete even if it was cut off.
  fn handle(&self, request: Request<Incoming>, supports_chunked: bool) -> Handling {
    let answer = (self.handler)(request);
    if supports_chunked {
      return answer;
    }
    Box::pin(async move {
      let (head, body) = answer.await.into_parts();
      match collect(body, Self::BUFFERED_RESPONSE_MAX).await {
        Ok(body) => Response::from_parts(head, full(body)),
        Err(err) => text(StatusCode::BAD_GATEWAY, err.to_string()),
      }
    })
  }

  fn parse_body(&mut self, context: &mut Context) -> bool {
    let allowance_bytes = self.entry.allowance_bytes();
    let Reading::Body { decoder, sender, sends_continue } = &mut self.reading else {
      return false;
    };
    if *sends_continue && sender.is_wanted(context) {
      *sends_continue = false;
      self.socket.outbound.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }
    if !sender.is_abandoned() && !sender.has_room(context, allowance_bytes) {
      return false;
    }
    match decoder.next(&mut self.socket.inbound) {
      Ok(Decoded::Data(data)) => {
        sender.push(&data);
        true
      }
      Ok(Decoded::End) => {
        sender.end(Ok(()));
        self.reading = Reading::Head;
        true
      }
      Ok(Decoded::Incomplete) => false,
      Err(fault) => {
        sender.end(Err(fault.into()));
        self.reading = Reading::Stopped;
        self.is_closing = true;
        true
      }
    }
  }

  /// Queues an error response to a request that cannot be read, after all earlier responses.
  fn refuse(&mut self, status: StatusCode, reason: &str) {
    self.reading = Reading::Stopped;
    self.is_closing = true;
    self.exchanges.push_back(Exchange {
      response: ResponseState::Ready(text(status, reason)),
      close: true,
      is_head: false,
      supports_chunked: true,
    });
  }

  fn run_handlers(&mut self, context: &mut Context) {
    if let Some(Exchange { response: ResponseState::Waiting(request), supports_chunked, .. }) =
      self.exchanges.front_mut()
      && let Some(request) = request.take()
    {
      let supports_chunked = *supports_chunked;
      self.exchanges[0].response = ResponseState::Awaited(self.handle(request, supports_chunked));
    }
    for exchange in &mut self.exchanges {
      if let ResponseState::Awaited(handler) = &mut exchange.response
        && let Poll::Ready(response) = handler.as_mut().poll(context)
      {
        exchange.response = ResponseState::Ready(response);
      }
    }
  }

  /// Writes the responses in order. Returns whether a response was completed.
  fn write(&mut self, context: &mut Context) -> std::result::Result<bool, Closed> {
    let mut finished = false;
    loop {
      let filled = self.fill(context);
      if filled.is_err() {
        // What came before a response broke off is delivered, as far as it can be at once.
        drop(self.socket.poll_write(context));
      }
      let progress = filled?;
      finished |= progress == Progress::Complete;
      // Small parts of a body are written together.
      if progress == Progress::Partial && self.socket.outbound.len() < Self::OUTBOUND_MAX {
        continue;
      }
      match self.socket.poll_write(context) {
        Poll::Ready(Ok(())) if progress == Progress::Pending => return Ok(finished),
        Poll::Ready(Ok(())) if progress == Progress::Last => {
          return match self.socket.poll_shutdown(context) {
            Poll::Ready(Ok(())) => {
              let pause = Duration::from_millis(Self::LINGER_MS);
              self.linger_timer = Some(Box::pin(timer::sleep(pause)));
              self.linger(context).map(|()| false)
            }
            Poll::Ready(Err(_)) => Err(Closed),
            Poll::Pending => Ok(false),
          };
        }
        Poll::Ready(Ok(())) => {}
        Poll::Ready(Err(_)) => return Err(Closed),
        Poll::Pending if progress == Progress::Complete => {}
        Poll::Pending => return Ok(finished),
      }
    }
  }

  /// Appends the next part of the first response to the write buffer.
  fn fill(&mut self, context: &mut Context) -> std::result::Result<Progress, Closed> {
    if self.socket.outbound.len() >= Self::OUTBOUND_MAX {
      return Ok(Progress::Partial);
    }
    self.check_refused_ahead();
    let is_last = self.is_closing && self.exchanges.len() == 1;
    let unread = matches!(self.reading, Reading::Body { .. } | Reading::Stopped);
    let Some(exchange) = self.exchanges.front_mut() else {
      return Ok(if self.is_closing && self.is_between() {
        Progress::Last
      } else {
        Progress::Pending
      });
    };
    if let ResponseState::Ready(_) = &exchange.response {
      // A response before the end of the request closes the connection, since the bytes that follow
      // are not the start of a request.
      let early = unread && self.exchanges.len() == 1;
      self.is_closing |= early;
      self.begin_response(is_last || early);
      return Ok(Progress::Partial);
    }
    let ResponseState::Writing(body, encoder) = &mut exchange.response else {
      return Ok(Progress::Pending);
    };
    match Pin::new(body).poll_frame(context) {
      Poll::Pending => Ok(Progress::Pending),
      Poll::Ready(Some(Ok(frame))) => {
        let fits = frame.data_ref().is_none_or(|data| encoder.put(data, &mut self.socket.outbound));
        if fits { Ok(Progress::Partial) } else { Err(Closed) }
      }
      // The framing lets the client detect that the response is cut off.
      Poll::Ready(Some(Err(_))) => Err(Closed),
      Poll::Ready(None) => {
        if !encoder.finish(&mut self.socket.outbound) {
          return Err(Closed);
        }
        let until_close = *encoder == BodyEncoder::UntilClose;
        self.exchanges.pop_front();
        self.is_closing |= until_close;
        Ok(if self.is_closing && self.exchanges.is_empty() {
          Progress::Last
        } else {
          Progress::Complete
        })
      }
    }
  }

  fn begin_response(&mut self, close: bool) {
    let Some(exchange) = self.exchanges.front_mut() else {
      return;
    };
    let taken = std::mem::replace(&mut exchange.response, ResponseState::Waiting(None));
    let ResponseState::Ready(response) = taken else {
      exchange.response = taken;
      return;
    };
    let (parts, body) = response.into_parts();
    let no_body =
      exchange.is_head || matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let encoder = if no_body {
      BodyEncoder::Empty
    } else {
      BodyEncoder::of(body.size_hint().exact(), exchange.supports_chunked)
    };
    let close = close || encoder == BodyEncoder::UntilClose;
    ResponseHead::put(&parts, &encoder, close, &mut self.socket.outbound);
    exchange.response = ResponseState::Writing(if no_body { empty() } else { body }, encoder);
  }

  /// Whether no request is being read or answered.
  fn is_between(&self) -> bool {
    self.exchanges.is_empty() && matches!(self.reading, Reading::Head | Reading::Stopped)
  }

  /// Discards further bytes of the client until it closes the connection or the timer expires.
  fn linger(&mut self, context: &mut Context) -> std::result::Result<(), Closed> {
    loop {
      self.socket.inbound.clear();
      match self.socket.poll_read(context) {
        Poll::Pending => break,
        Poll::Ready(Ok(Read::Data)) => {}
        Poll::Ready(Ok(Read::End) | Err(_)) => return Err(Closed),
      }
    }
    let timer = self.linger_timer.as_mut();
    let is_up = timer.is_none_or(|timer| timer.as_mut().poll(context).is_ready());
    if is_up { Err(Closed) } else { Ok(()) }
  }

  /// Enforces the timeouts of request heads and of idle connections.
  fn check_timer(&mut self, context: &mut Context) -> std::result::Result<(), Closed> {
    if !self.exchanges.is_empty() || !matches!(self.reading, Reading::Head) {
      self.timer = None;
      return Ok(());
    }
    let in_head = !self.socket.inbound.is_empty();
    if self.timer.is_none() || self.timer_for_head != in_head {
      let limits = self.limits.get();
      let limit_ms = if in_head { limits.head_timeout_ms } else { limits.idle_timeout_ms };
      self.timer = Some(Box::pin(timer::sleep(Duration::from_millis(limit_ms))));
      self.timer_for_head = in_head;
      self.socket.shrink();
    }
    let is_up = self.timer.as_mut().is_some_and(|timer| timer.as_mut().poll(context).is_ready());
    if !is_up {
      return Ok(());
    }
    self.timer = None;
    if !in_head {
      return Err(Closed);
    }
    self.refuse(StatusCode::REQUEST_TIMEOUT, "the head took too long to arrive");
    self.write(context).map(drop)
  }
}

/// The result of filling the write buffer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
  /// A response is complete, and others may follow.
  Complete,
  /// The last response of the connection is complete.
  Last,
  /// Bytes were added or the buffer is full; more may be available.
  Partial,
  /// Nothing can be added until a handler, a body or the client makes progress.
  Pending,
}

impl Future for ServerConnection {
  type Output = ();

  fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
    if self.advance(context).is_ok() {
      return Poll::Pending;
    }
    // Cancels running requests now rather than when the task is dropped.
    self.exchanges.clear();
    self.reading = Reading::Stopped;
    Poll::Ready(())
  }
}

impl From<Fault> for Error {
  fn from(fault: Fault) -> Self {
    Self::Malformed(fault)
  }
}
