//! Answers that break off, or are whole before their connection breaks, around the time at which the request's body is
//! written. On real sockets.

use {
  bytes::Bytes,
  ferryyoke::{
    commands::block_on,
    web::{self, AnyBody, BodyError, Pool},
  },
  http::Request,
  http_body::{Body, Frame},
  socket2::SockRef,
  std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    rc::Rc,
    sync::mpsc::{Receiver, Sender, channel},
    task::{Context, Poll},
    thread,
    time::Duration,
  },
};

/// Upper limit for steps whose speed isn't under test.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time for the end of a connection to arrive on the same machine.
const ARRIVAL: Duration = Duration::from_millis(20);

/// Bytes of the request's body that are sent after the server has answered. More than a client holds unwritten.
const REST_BYTES: usize = 100_000;

/// How the server ends its connection after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
  /// It closes its side, and then all of the connection, though it has not read all of the request.
  Close,
  /// It resets the connection.
  Reset,
}

/// When the server answers and ends its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Moment {
  /// After it has read the whole request.
  AfterBody,
  /// Once it has read the head and asked for the body, before a byte of that is written.
  AfterContinue,
  /// Before a byte of the request is written.
  BeforeRequest,
  /// Once it has read the head, while the body is being written.
  DuringBody,
}

impl End {
  fn apply(self, stream: TcpStream) {
    match self {
      Self::Close => stream.shutdown(Shutdown::Write).expect("closed"),
      Self::Reset => {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option is set");
      }
    }
    drop(stream);
  }
}

/// A server that answers one request, told by its client when to.
struct Server {
  address: SocketAddr,
  /// Tells that the answer is sent and the connection has ended.
  ended: Receiver<()>,
  /// Asks for the answer.
  go: Sender<()>,
}

impl Server {
  fn start(answer: &'static str, end: End, moment: Moment) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let ((go, told), (end_sender, ended)) = (channel::<()>(), channel());
    thread::spawn(move || {
      let (mut stream, _) = listener.accept().expect("a connection");
      match moment {
        Moment::AfterBody => read_until(&mut stream, b"\r\n0\r\n\r\n"),
        Moment::AfterContinue => {
          read_until(&mut stream, b"\r\n\r\n");
          stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").expect("sent");
        }
        Moment::BeforeRequest => {}
        Moment::DuringBody => read_until(&mut stream, b"\r\n\r\n"),
      }
      if moment != Moment::AfterBody {
        told.recv_timeout(MAX_WAIT).expect("the client asks for the answer");
      }
      stream.write_all(answer.as_bytes()).expect("sent");
      end.apply(stream);
      end_sender.send(()).ok();
    });
    Self { address, ended, go }
  }
}

/// Reads a byte at a time, so that nothing behind `end` is read.
fn read_until(stream: &mut TcpStream, end: &[u8]) {
  let mut read = Vec::new();
  while !read.ends_with(end) {
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("a request");
    read.push(byte[0]);
  }
}

/// A request's body that lets the server answer at a set step, and goes on only once it has: no answer can be read
/// between.
struct SteppedBody {
  ended: Receiver<()>,
  go: Sender<()>,
  /// The step before which the server answers.
  answered_before: Step,
  next: Step,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
  Start,
  /// Nothing is given, so that what there is gets written.
  Pause,
  Rest,
  End,
  Never,
}

impl Body for SteppedBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let step = self.next;
    if step == self.answered_before {
      self.go.send(()).expect("the server waits");
      self.ended.recv_timeout(MAX_WAIT).expect("the server answers");
      thread::sleep(ARRIVAL);
    }
    let (next, polled) = match step {
      Step::Start => {
        let start = Frame::data(Bytes::from_static(b"the start"));
        (Step::Pause, Poll::Ready(Some(Ok(start))))
      }
      Step::Pause => {
        context.waker().wake_by_ref();
        (Step::Rest, Poll::Pending)
      }
      Step::Rest => {
        let rest = Frame::data(Bytes::from(vec![b'r'; REST_BYTES]));
        (Step::End, Poll::Ready(Some(Ok(rest))))
      }
      Step::End | Step::Never => (Step::End, Poll::Ready(None)),
    };
    self.next = next;
    polled
  }
}

/// Sends a request in chunks to a server that answers it so. Returns the answer.
async fn ask(answer: &'static str, end: End, moment: Moment) -> web::Result<Bytes> {
  let Server { address, ended, go } = Server::start(answer, end, moment);
  let answered_before = match moment {
    Moment::AfterBody => Step::Never,
    Moment::AfterContinue | Moment::BeforeRequest => Step::Start,
    Moment::DuringBody => Step::Rest,
  };
  let body = SteppedBody { ended, go, answered_before, next: Step::Start };
  let mut request = Request::post("/").header("host", "a");
  if moment == Moment::AfterContinue {
    request = request.header("expect", "100-continue");
  }
  let request = request.body(AnyBody::streamed(body)).expect("a head");
  let pool = Rc::new(Pool::new(1_000));
  let asked = pool.exchange(address, request, 1 << 20);
  let asked = monoio::time::timeout(MAX_WAIT, asked).await.expect("the request ends");
  asked.map(|(_, body)| body)
}

fn run(test: impl Future<Output = ()>) {
  block_on(test).expect("an event loop");
}

/// An answer without a length, which ends with its connection.
const UNSIZED: &str = "HTTP/1.1 200 OK\r\n\r\nall or a part";

/// Whole answers that tell their end.
const WHOLE: [&str; 2] = [
  "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
];

/// Parts of answers that tell their end, up to just before it.
const PARTS: [&str; 5] = [
  "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole",
  "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
];

/// All ends of a connection at all moments after the head of the request has arrived.
fn ends() -> impl Iterator<Item = (End, Moment)> {
  let moments = [Moment::AfterBody, Moment::AfterContinue, Moment::DuringBody];
  let ends = [End::Close, End::Reset];
  ends.into_iter().flat_map(move |end| moments.map(|moment| (end, moment)))
}

/// Guards against a part of an answer that passes for the whole one: the write of the request's body took the error of a
/// reset connection, so that the answer seemed to end as one without a length does.
#[test]
fn an_answer_without_a_length_is_whole_only_if_its_server_closed_the_connection() {
  for (end, moment) in ends() {
    run(async move {
      let asked = ask(UNSIZED, end, moment).await;
      let is_right = match (end, &asked) {
        (End::Close, Ok(body)) => body == "all or a part",
        (End::Reset, Err(err)) => !err.is_unsent(),
        _ => false,
      };
      assert!(is_right, "{end:?}, {moment:?}: {asked:?}");
    });
  }
}

/// Guards against a part of an answer that passes for the whole one, however its connection ends.
#[test]
fn a_part_of_an_answer_that_tells_its_end_is_broken() {
  for ((end, moment), answer) in ends().flat_map(|ends| PARTS.map(|answer| (ends, answer))) {
    run(async move {
      let asked = ask(answer, end, moment).await;
      let is_broken = asked.as_ref().is_err_and(|err| !err.is_unsent());
      assert!(is_broken, "{answer:?}, {end:?}, {moment:?}: {asked:?}");
    });
  }
}

/// Guards against a whole answer that is lost with the connection that ends right behind it.
#[test]
fn a_whole_answer_that_tells_its_end_is_delivered_however_its_connection_ends() {
  for ((end, moment), answer) in ends().flat_map(|ends| WHOLE.map(|answer| (ends, answer))) {
    run(async move {
      let asked = ask(answer, end, moment).await;
      let is_whole = asked.as_ref().is_ok_and(|body| body == "whole");
      assert!(is_whole, "{answer:?}, {end:?}, {moment:?}: {asked:?}");
    });
  }
}

/// Guards against an answer to a request of which no byte was sent.
#[test]
fn an_answer_before_the_request_on_a_reset_connection_is_no_answer() {
  for answer in [UNSIZED].into_iter().chain(WHOLE).chain(PARTS) {
    run(async move {
      let asked = ask(answer, End::Reset, Moment::BeforeRequest).await;
      assert!(asked.as_ref().is_err_and(web::Error::is_unsent), "{answer:?}: {asked:?}");
    });
  }
}
