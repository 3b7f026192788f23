use super::*;

use super::{
  http1::{BodyDecoder, BodyEncoder, Decoded, Fault, RequestHead, ResponseHead},
  incoming::Feed,
  server::Stopped,
  socket::{Read, Socket},
};

/// What a server does with each request.
pub(super) type Handler = Rc<dyn Fn(Request<Incoming>) -> Handling>;

/// A request that is being handled.
type Handling = Pin<Box<dyn Future<Output = Response<AnyBody>>>>;

/// One connection of a client.
///
/// Requests that a client sends behind one another run at once, where their methods are safe, and
/// are answered in order. A client that goes away is noticed whatever else is under way, and its
/// requests are dropped.
pub(super) struct ServerConnection {
  /// Requests that were read and are not answered whole, oldest first.
  exchanges: VecDeque<Exchange>,
  handler: Handler,
  /// No further request is read.
  is_closing: bool,
  limits: Rc<Cell<ServerLimits>>,
  origin: Origin,
  /// Until when the rest of what the client sends is read and dropped, once all is answered: closing
  /// before that would reset the connection, and the answer might be lost.
  lingering: Option<Pin<Box<timer::Sleep>>>,
  reading: Reading,
  socket: Socket,
  stopped: Option<Stopped>,
  /// When the connection has rested, or a head has taken, for too long.
  timer: Option<Pin<Box<timer::Sleep>>>,
  /// Whether the timer runs for a head that has begun.
  timer_for_head: bool,
}

enum Reading {
  /// The body of the newest request.
  Body {
    decoder: BodyDecoder,
    feed: Feed,
    tells_continue: bool,
  },
  Head,
  /// Nothing more is read, for what follows cannot be told apart.
  Stopped,
}

struct Exchange {
  answer: Answer,
  /// The client wants the connection closed afterwards.
  close: bool,
  is_head: bool,
  knows_chunks: bool,
}

enum Answer {
  /// The handler works on it.
  Awaited(Handling),
  /// The answer is there and not begun.
  Ready(Response<AnyBody>),
  /// The request waits for those before it.
  Waiting(Option<Request<Incoming>>),
  /// The head is written, and the body follows.
  Writing(AnyBody, BodyEncoder),
}

/// The connection is over.
struct Over;

impl ServerConnection {
  /// Milliseconds for which a client is given to read the last answer and close.
  const LINGER_MS: u64 = 500;
  /// Requests of one connection that are under way at once. More wait in the socket.
  const EXCHANGES_MAX: usize = 32;
  /// Largest answer in bytes for a client that does not understand chunks.
  const HELD_MAX: usize = 8 << 20;
  /// Bytes that are read ahead of what can be used.
  const INBOUND_MAX: usize = 65_536;
  /// Bytes that wait to be written before the next part of a body is asked for.
  const OUTBOUND_MAX: usize = 65_536;

  pub(super) fn new(
    socket: Socket,
    origin: Origin,
    handler: Handler,
    limits: Rc<Cell<ServerLimits>>,
    stopped: Stopped,
  ) -> Self {
    Self {
      exchanges: VecDeque::new(),
      handler,
      is_closing: false,
      limits,
      lingering: None,
      origin,
      reading: Reading::Head,
      socket,
      stopped: Some(stopped),
      timer: None,
      timer_for_head: false,
    }
  }

  /// Does all that can be done now. An end of the connection drops what is under way.
  fn advance(&mut self, context: &mut Context) -> std::result::Result<(), Over> {
    if self.lingering.is_some() {
      return self.linger(context);
    }
    self.check_stopped(context);
    loop {
      let read = self.read(context)?;
      let parsed = self.parse(context);
      self.run_handlers(context);
      let wrote = self.write(context)?;
      if !read && !parsed && !wrote {
        break;
      }
    }
    if self.lingering.is_some() { Ok(()) } else { self.check_timer(context) }
  }

  fn check_stopped(&mut self, context: &mut Context) {
    let is_stopped =
      self.stopped.as_mut().is_some_and(|stopped| Pin::new(stopped).poll(context).is_ready());
    if is_stopped {
      self.stopped = None;
      self.is_closing = true;
    }
  }

  /// Reads what came. Bytes are read ahead within bounds, so that an end is seen.
  fn read(&mut self, context: &mut Context) -> std::result::Result<bool, Over> {
    if self.socket.inbound.len() >= Self::INBOUND_MAX {
      return Ok(false);
    }
    match self.socket.poll_read(context) {
      Poll::Pending => Ok(false),
      Poll::Ready(Ok(Read::Data)) => Ok(true),
      Poll::Ready(Ok(Read::End) | Err(_)) => Err(Over),
    }
  }

  /// Turns what was read into requests and bodies. Returns whether anything came of it.
  fn parse(&mut self, context: &mut Context) -> bool {
    let mut advanced = false;
    loop {
      let stepped = match &self.reading {
        Reading::Body { .. } => self.parse_body(context),
        Reading::Head => self.parse_head(),
        Reading::Stopped => false,
      };
      if !stepped {
        return advanced;
      }
      advanced = true;
    }
  }

  fn parse_head(&mut self) -> bool {
    if self.is_closing
      || self.exchanges.len() >= Self::EXCHANGES_MAX
      || self.socket.inbound.is_empty()
    {
      return false;
    }
    let limits = self.limits.get();
    let taken =
      RequestHead::take(&mut self.socket.inbound, limits.head_bytes_max, limits.body_bytes_max);
    match taken {
      Ok(Some(head)) => {
        self.timer = None;
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
    let (body, feed) = Incoming::new(head.decoder.exact());
    let is_safe = head.parts.method.is_safe();
    let exchange = Exchange {
      answer: Answer::Waiting(None),
      close: head.close,
      is_head: head.parts.method == Method::HEAD,
      knows_chunks: head.knows_chunks,
    };
    let mut request = Request::from_parts(head.parts, body);
    request.extensions_mut().insert(self.origin);
    // What must not run twice starts only once nothing before it can close the connection.
    let answer = if is_safe || self.exchanges.is_empty() {
      Answer::Awaited(self.handle(request, exchange.knows_chunks))
    } else {
      Answer::Waiting(Some(request))
    };
    self.is_closing |= exchange.close;
    self.exchanges.push_back(Exchange { answer, ..exchange });
    if head.decoder.is_done() {
      feed.end(Ok(()));
    } else {
      let tells_continue = head.expects_continue;
      self.reading = Reading::Body { decoder: head.decoder, feed, tells_continue };
    }
  }

  /// Starts the handler. A client that does not understand chunks gets an answer of known length, for
  /// one that ends with the connection would look whole where it breaks off.
  fn handle(&self, request: Request<Incoming>, knows_chunks: bool) -> Handling {
    let answer = (self.handler)(request);
    if knows_chunks {
      return answer;
    }
    Box::pin(async move {
      let (head, body) = answer.await.into_parts();
      match collect(body, Self::HELD_MAX).await {
        Ok(body) => Response::from_parts(head, full(body)),
        Err(err) => text(StatusCode::BAD_GATEWAY, err.to_string()),
      }
    })
  }

  fn parse_body(&mut self, context: &mut Context) -> bool {
    let Reading::Body { decoder, feed, tells_continue } = &mut self.reading else {
      return false;
    };
    if *tells_continue && feed.is_wanted(context) {
      *tells_continue = false;
      self.socket.outbound.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }
    if !feed.is_abandoned() && !feed.has_room(context) {
      return false;
    }
    match decoder.next(&mut self.socket.inbound) {
      Ok(Decoded::Data(data)) => {
        feed.push(data);
        true
      }
      Ok(Decoded::End) => {
        feed.end(Ok(()));
        self.reading = Reading::Head;
        true
      }
      Ok(Decoded::Starved) => false,
      Err(fault) => {
        feed.end(Err(fault.into()));
        self.reading = Reading::Stopped;
        self.is_closing = true;
        true
      }
    }
  }

  /// Answers what cannot be read as a request, behind the answers that are due.
  fn refuse(&mut self, status: StatusCode, reason: &str) {
    self.reading = Reading::Stopped;
    self.is_closing = true;
    self.exchanges.push_back(Exchange {
      answer: Answer::Ready(text(status, reason)),
      close: true,
      is_head: false,
      knows_chunks: true,
    });
  }

  fn run_handlers(&mut self, context: &mut Context) {
    if let Some(Exchange { answer: Answer::Waiting(request), knows_chunks, .. }) =
      self.exchanges.front_mut()
      && let Some(request) = request.take()
    {
      let knows_chunks = *knows_chunks;
      self.exchanges[0].answer = Answer::Awaited(self.handle(request, knows_chunks));
    }
    for exchange in &mut self.exchanges {
      if let Answer::Awaited(handler) = &mut exchange.answer
        && let Poll::Ready(response) = handler.as_mut().poll(context)
      {
        exchange.answer = Answer::Ready(response);
      }
    }
  }

  /// Writes the answers in order. Returns whether an answer was finished.
  fn write(&mut self, context: &mut Context) -> std::result::Result<bool, Over> {
    let mut finished = false;
    loop {
      let filled = self.fill(context)?;
      finished |= filled == Filled::Whole;
      match self.socket.poll_write(context) {
        Poll::Ready(Ok(())) if filled == Filled::Starved => return Ok(finished),
        Poll::Ready(Ok(())) if filled == Filled::Last => {
          return match self.socket.poll_shutdown(context) {
            Poll::Ready(Ok(())) => {
              let pause = Duration::from_millis(Self::LINGER_MS);
              self.lingering = Some(Box::pin(timer::sleep(pause)));
              self.linger(context).map(|()| false)
            }
            Poll::Ready(Err(_)) => Err(Over),
            Poll::Pending => Ok(false),
          };
        }
        Poll::Ready(Ok(())) => {}
        Poll::Ready(Err(_)) => return Err(Over),
        Poll::Pending if filled == Filled::Whole => {}
        Poll::Pending => return Ok(finished),
      }
    }
  }

  /// Puts the next part of the first answer into the buffer.
  fn fill(&mut self, context: &mut Context) -> std::result::Result<Filled, Over> {
    if self.socket.outbound.len() >= Self::OUTBOUND_MAX {
      return Ok(Filled::Some);
    }
    let is_last = self.is_closing && self.exchanges.len() == 1;
    let unread = matches!(self.reading, Reading::Body { .. } | Reading::Stopped);
    let Some(exchange) = self.exchanges.front_mut() else {
      return Ok(if self.is_closing && self.is_between() { Filled::Last } else { Filled::Starved });
    };
    if let Answer::Ready(_) = &exchange.answer {
      // An answer before the request is in ends the connection: what follows is no request.
      let early = unread && self.exchanges.len() == 1;
      self.is_closing |= early;
      self.begin_answer(is_last || early);
      return Ok(Filled::Some);
    }
    let Answer::Writing(body, encoder) = &mut exchange.answer else {
      return Ok(Filled::Starved);
    };
    match Pin::new(body).poll_frame(context) {
      Poll::Pending => Ok(Filled::Starved),
      Poll::Ready(Some(Ok(frame))) => {
        let fits = frame.data_ref().is_none_or(|data| encoder.put(data, &mut self.socket.outbound));
        if fits { Ok(Filled::Some) } else { Err(Over) }
      }
      // The framing shows that the answer is cut.
      Poll::Ready(Some(Err(_))) => Err(Over),
      Poll::Ready(None) => {
        if !encoder.finish(&mut self.socket.outbound) {
          return Err(Over);
        }
        let until_close = *encoder == BodyEncoder::UntilClose;
        self.exchanges.pop_front();
        self.is_closing |= until_close;
        Ok(if self.is_closing && self.exchanges.is_empty() { Filled::Last } else { Filled::Whole })
      }
    }
  }

  fn begin_answer(&mut self, close: bool) {
    let Some(exchange) = self.exchanges.front_mut() else {
      return;
    };
    let taken = std::mem::replace(&mut exchange.answer, Answer::Waiting(None));
    let Answer::Ready(response) = taken else {
      exchange.answer = taken;
      return;
    };
    let (parts, body) = response.into_parts();
    let no_body =
      exchange.is_head || matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let encoder = if no_body {
      BodyEncoder::Empty
    } else {
      BodyEncoder::of(body.size_hint().exact(), exchange.knows_chunks)
    };
    let close = close || encoder == BodyEncoder::UntilClose;
    ResponseHead::put(&parts, &encoder, close, &mut self.socket.outbound);
    exchange.answer = Answer::Writing(if no_body { empty() } else { body }, encoder);
  }

  /// Whether the connection stands between two requests.
  fn is_between(&self) -> bool {
    self.exchanges.is_empty() && matches!(self.reading, Reading::Head | Reading::Stopped)
  }

  /// Drops what the client still sends, until it closes or the time is up.
  fn linger(&mut self, context: &mut Context) -> std::result::Result<(), Over> {
    loop {
      self.socket.inbound.clear();
      match self.socket.poll_read(context) {
        Poll::Pending => break,
        Poll::Ready(Ok(Read::Data)) => {}
        Poll::Ready(Ok(Read::End) | Err(_)) => return Err(Over),
      }
    }
    let timer = self.lingering.as_mut();
    let is_up = timer.is_none_or(|timer| timer.as_mut().poll(context).is_ready());
    if is_up { Err(Over) } else { Ok(()) }
  }

  /// Bounds how long a head takes, and how long the connection rests.
  fn check_timer(&mut self, context: &mut Context) -> std::result::Result<(), Over> {
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
      return Err(Over);
    }
    self.refuse(StatusCode::REQUEST_TIMEOUT, "the head took too long to arrive");
    self.write(context).map(drop)
  }
}

/// What there was to write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Filled {
  /// The last answer of the connection is whole.
  Last,
  /// Some bytes; more may follow at once.
  Some,
  /// Nothing until something else happens.
  Starved,
  /// An answer is whole.
  Whole,
}

impl Future for ServerConnection {
  type Output = ();

  fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
    if self.advance(context).is_ok() {
      return Poll::Pending;
    }
    // What is under way is dropped now, and not with the task.
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
