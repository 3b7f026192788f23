use super::*;

use super::{
  head_reader::{HeadProgress, HeadReader, broken},
  http1::{BodyEncoder, Decoded, RequestHead},
  pool::OpenClient,
  socket::{Read, Socket},
};

/// A client connection that carries one HTTP exchange at a time.
pub struct Client {
  /// The address of the server.
  pub(super) address: SocketAddr,
  /// Since when the connection is idle.
  pub(super) idle_since: Duration,
  /// Milliseconds for which the server keeps an idle connection, if its `Keep-Alive` header says
  /// so.
  pub(super) keep_alive_ms: Option<u64>,
  socket: Socket,
  _open: OpenClient,
}

/// The header by which a response identifies its request. A response with another value belongs to
/// an earlier request and is skipped.
#[derive(Clone, Debug)]
pub struct CorrelationHeader {
  /// The header's name.
  pub name: HeaderName,
  /// The value that identifies the request.
  pub value: HeaderValue,
}

impl Client {
  /// Wraps a newly opened connection.
  pub(super) fn new(address: SocketAddr, stream: TcpStream, open: OpenClient) -> io::Result<Self> {
    let socket = Socket::new(stream)?;
    Ok(Self { address, idle_since: timer::now(), keep_alive_ms: None, socket, _open: open })
  }

  /// Whether the connection can carry another exchange: the server has neither closed it nor sent
  /// unsolicited bytes.
  pub(super) fn is_clean(&mut self) -> bool {
    self.socket.is_silent()
  }

  /// Sends a request and waits for the head of its response. The connection returns to `pool` once
  /// the response is complete, unless further bytes follow it.
  pub(super) async fn exchange(
    mut self,
    request: Request<AnyBody>,
    correlation: Option<CorrelationHeader>,
    pool: Option<Rc<Pool>>,
  ) -> Result<Response<ResponseBody>> {
    let (parts, mut body) = request.into_parts();
    let mut encoder = BodyEncoder::of(body.size_hint().exact(), true);
    RequestHead::put(&parts, &encoder, &mut self.socket.outbound);
    let bodiless = parts.method == Method::HEAD;
    let awaits_continue = parts.headers.contains_key(http::header::EXPECT);
    let mut sending =
      Sending { awaits_continue, encoder: &mut encoder, is_begun: false, is_done: false };
    let mut reader = HeadReader::new(bodiless, correlation.as_ref());
    let head = std::future::poll_fn(|context| {
      let sent = sending.poll(&mut self.socket, &mut body, context);
      if let Poll::Ready(Err(fault)) = sent {
        // The server may have answered before it closed.
        if !sending.is_begun {
          return Poll::Ready(Err(Error::Unsent { reason: fault.to_string() }));
        }
      }
      loop {
        match reader.next(&mut self.socket)? {
          HeadProgress::Head(head) => return Poll::Ready(Ok(head)),
          HeadProgress::Continue => {
            sending.awaits_continue = false;
            let sent = sending.poll(&mut self.socket, &mut body, context);
            // Where the connection takes no more, the answer may have come before.
            if let Poll::Ready(Err(fault @ SendFault::Body { .. })) = sent {
              return Poll::Ready(Err(broken(&fault.to_string())));
            }
            continue;
          }
          HeadProgress::Incomplete => {}
        }
        match self.socket.poll_read(context) {
          Poll::Pending => return Poll::Pending,
          Poll::Ready(Ok(Read::Data)) => {}
          Poll::Ready(Ok(Read::End)) => {
            return Poll::Ready(Err(broken("the server closed it before its answer")));
          }
          Poll::Ready(Err(err)) => return Poll::Ready(Err(broken(&err.to_string()))),
        }
      }
    });
    let head = head.await?;
    let is_sent = sending.is_done;
    if let Some(keep_alive_s) = head.keep_alive_s {
      self.keep_alive_ms = Some(keep_alive_s * 1_000);
    }
    let body = ResponseBody {
      client: Some(self),
      decoder: head.decoder,
      pool: pool.filter(|_| is_sent && !head.close),
    };
    Ok(Response::from_parts(head.parts, body))
  }
}

/// Sends a request while its response is awaited.
struct Sending<'a> {
  /// Whether the body is held back until the server sends `100 Continue`.
  awaits_continue: bool,
  encoder: &'a mut BodyEncoder,
  /// Whether a byte of the request may have been sent.
  is_begun: bool,
  is_done: bool,
}

impl Sending<'_> {
  /// Unwritten bytes beyond which the body is not polled for more.
  const OUTBOUND_MAX: usize = 65_536;

  fn poll(
    &mut self,
    socket: &mut Socket,
    body: &mut AnyBody,
    context: &mut Context,
  ) -> Poll<Result<(), SendFault>> {
    while !self.is_done {
      if self.awaits_continue {
        return self.write(socket, context);
      }
      if socket.outbound.len() < Self::OUTBOUND_MAX {
        match Pin::new(&mut *body).poll_frame(context) {
          Poll::Pending => {
            return self.write(socket, context).map_ok(drop);
          }
          Poll::Ready(Some(Ok(frame))) => {
            let data = frame.into_data().unwrap_or_default();
            if !self.encoder.put(&data, &mut socket.outbound) {
              return Poll::Ready(Err(SendFault::body("is longer than was told")));
            }
            continue;
          }
          Poll::Ready(Some(Err(err))) => {
            return Poll::Ready(Err(SendFault::body(&format!("broke off: {err}"))));
          }
          Poll::Ready(None) => {
            if !self.encoder.finish(&mut socket.outbound) {
              return Poll::Ready(Err(SendFault::body("is shorter than was told")));
            }
            self.is_done = true;
          }
        }
      }
      match self.write(socket, context) {
        Poll::Ready(Ok(())) => {}
        other => return other,
      }
    }
    self.write(socket, context)
  }

  fn write(&mut self, socket: &mut Socket, context: &mut Context) -> Poll<Result<(), SendFault>> {
    let before = socket.outbound.len();
    let wrote = socket.poll_write(context);
    self.is_begun |= socket.outbound.len() < before;
    wrote.map_err(|err| SendFault::Connection { reason: err.to_string() })
  }
}

/// Why the rest of a request is not sent.
enum SendFault {
  /// The body broke off, or has another length than was told.
  Body {
    /// What the body is or does.
    reason: String,
  },
  /// The connection takes no more bytes.
  Connection {
    /// What went wrong.
    reason: String,
  },
}

impl SendFault {
  fn body(reason: &str) -> Self {
    Self::Body { reason: reason.into() }
  }
}

impl Display for SendFault {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Body { reason } => write!(f, "the request's body {reason}"),
      Self::Connection { reason } => f.write_str(reason),
    }
  }
}

/// The body of a response. Dropping it before its end closes the connection.
pub struct ResponseBody {
  client: Option<Client>,
  decoder: http1::BodyDecoder,
  /// The pool that the connection returns to after the body. `None` if it cannot be reused.
  pool: Option<Rc<Pool>>,
}

impl ResponseBody {
  /// Returns the connection to the pool after the body, unless bytes are left to read or write.
  fn finish(&mut self) {
    let Some(mut client) = self.client.take() else {
      return;
    };
    if let Some(pool) = self.pool.take()
      && client.socket.inbound.is_empty()
      && client.socket.outbound.is_empty()
    {
      client.socket.shrink();
      pool.checkin(client);
    }
  }
}

impl Body for ResponseBody {
  type Data = Bytes;
  type Error = Error;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<Result<http_body::Frame<Bytes>>>> {
    let this = &mut *self;
    loop {
      let Some(client) = &mut this.client else {
        return Poll::Ready(None);
      };
      match this.decoder.next(&mut client.socket.inbound) {
        Ok(Decoded::Data(data)) => return Poll::Ready(Some(Ok(http_body::Frame::data(data)))),
        Ok(Decoded::End) => {
          this.finish();
          return Poll::Ready(None);
        }
        Ok(Decoded::Incomplete) => {}
        Err(fault) => {
          this.client = None;
          return Poll::Ready(Some(Err(fault.into())));
        }
      }
      let read = match client.socket.poll_read(context) {
        Poll::Pending => return Poll::Pending,
        Poll::Ready(read) => read,
      };
      let reason = match read {
        Ok(Read::Data) => continue,
        Ok(Read::End) if this.decoder.ends_with_connection() => {
          this.client = None;
          return Poll::Ready(None);
        }
        Ok(Read::End) => "the answer broke off".to_string(),
        Err(err) => err.to_string(),
      };
      this.client = None;
      return Poll::Ready(Some(Err(Error::Broken { reason })));
    }
  }

  fn is_end_stream(&self) -> bool {
    self.decoder.is_done()
  }

  fn size_hint(&self) -> http_body::SizeHint {
    let exact = self.decoder.exact();
    exact.map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
  }
}

impl Drop for ResponseBody {
  fn drop(&mut self) {
    // An empty body may never be polled.
    if self.decoder.is_done() {
      self.finish();
    }
  }
}
