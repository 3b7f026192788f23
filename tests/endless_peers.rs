//! Peers that send without end, on real sockets.
//!
//! Guards against an event loop that one peer holds: as long as the next bytes were there before the last ones were
//! handled, the task of the connection never returned to the loop. No timer fired, no other connection was served, and
//! a confirmed change of the configuration came into force only when the peer paused.

use {
  ferryyoke::{
    commands::block_on,
    links::Credentials,
    settings::FleetKey,
    web::{self, CorrelationHeader, Incoming, Listener, Pool, Server},
  },
  futures_util::future::{Either, select},
  http::{HeaderName, HeaderValue, Request, StatusCode},
  std::{
    cell::Cell,
    future::Future,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
      Arc,
      atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
  },
  tokio_tungstenite::tungstenite::{self, Message},
};

/// Seconds after which a peer stops by itself, whatever the event loop does.
const PEER_MAX_S: u64 = 10;

/// Milliseconds for which the event loop runs beside a peer that sends.
const BESIDE_MS: u64 = 300;

/// A peer in a thread of its own that sends until it is stopped or its connection ends.
struct Peer {
  sent_bytes: Arc<AtomicUsize>,
  stopped: Arc<AtomicBool>,
}

impl Peer {
  /// Starts a peer that sends `piece` over and over on the connection that `open` returns.
  fn start(open: impl FnOnce() -> TcpStream + Send + 'static, piece: &'static [u8]) -> Self {
    let peer = Self { sent_bytes: Arc::default(), stopped: Arc::default() };
    let (sent_bytes, stopped) = (peer.sent_bytes.clone(), peer.stopped.clone());
    thread::spawn(move || {
      let mut stream = open();
      // Answers are read beside, so that they do not fill the connection.
      let mut reading = stream.try_clone().expect("a handle");
      let mut read = vec![0; 65_536];
      thread::spawn(move || while matches!(reading.read(&mut read), Ok(1..)) {});
      let many = piece.repeat(65_536 / piece.len() + 1);
      let began = Instant::now();
      while !stopped.load(Ordering::SeqCst) && began.elapsed() < Duration::from_secs(PEER_MAX_S) {
        match stream.write(&many) {
          Ok(count) => drop(sent_bytes.fetch_add(count, Ordering::SeqCst)),
          Err(err) if err.kind() == ErrorKind::Interrupted => {}
          Err(_) => return,
        }
      }
    });
    peer
  }

  /// Lets the event loop run beside the peer by its timers. Returns how long that took, and stops the peer.
  async fn watch(&self) -> Duration {
    const STEP_MS: u64 = 10;
    let began = Instant::now();
    for _ in 0..BESIDE_MS / STEP_MS {
      monoio::time::sleep(Duration::from_millis(STEP_MS)).await;
    }
    let took = began.elapsed();
    self.stopped.store(true, Ordering::SeqCst);
    took
  }

  fn sent_bytes(&self) -> usize {
    self.sent_bytes.load(Ordering::SeqCst)
  }
}

impl Drop for Peer {
  fn drop(&mut self) {
    self.stopped.store(true, Ordering::SeqCst);
  }
}

/// Half of the time for which a peer sends: an event loop that it holds goes on only after all of it.
const HELD: Duration = Duration::from_secs(PEER_MAX_S / 2);

fn run(test: impl Future<Output = ()>) {
  block_on(test).expect("an event loop");
}

/// Starts a backend server that answers its first request with `start`, and then with `piece` without end.
fn endless_server(start: &'static str, piece: &'static [u8]) -> (SocketAddr, Peer) {
  let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
  let address = listener.local_addr().expect("bound");
  let open = move || {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
      let mut byte = [0];
      stream.read_exact(&mut byte).expect("a request");
      head.extend(byte);
    }
    stream.write_all(start.as_bytes()).expect("the start is sent");
    stream
  };
  (address, Peer::start(open, piece))
}

/// Sends a request named `new` to the server. Returns how its answer's head came.
async fn ask(address: SocketAddr) -> web::Result<http::Response<web::ResponseBody>> {
  let pool = Rc::new(Pool::new(1_000));
  let (name, value) = (HeaderName::from_static("x-id"), HeaderValue::from_static("new"));
  let request = Request::get("/").header("host", "a").header(&name, &value);
  let request = request.body(web::empty()).expect("a head");
  let client = pool.checkout(address).await?;
  pool.send(client, request, Some(CorrelationHeader { name, value })).await
}

/// Asks the server while the event loop's timers are watched. Returns how long they took, the outcome of the request
/// where it ended meanwhile, and the bytes that were sent.
async fn ask_beside(
  start: &'static str,
  piece: &'static [u8],
) -> (Duration, Option<web::Result<StatusCode>>, usize) {
  let (address, peer) = endless_server(start, piece);
  let outcome = Rc::new(Cell::new(None));
  let ended = outcome.clone();
  let asking = Box::pin(async move {
    let answered = ask(address).await;
    ended.set(Some(answered.map(|response| response.status())));
    std::future::pending::<()>().await;
  });
  let Either::Right((took, _)) = select(asking, Box::pin(peer.watch())).await else {
    unreachable!("asking does not end");
  };
  (took, outcome.take(), peer.sent_bytes())
}

/// A backend server that sends interim answers without end does not hold the event loop, and the request fails soon.
#[test]
fn endless_interim_answers_do_not_hold_the_event_loop() {
  run(async {
    let (took, outcome, _) = ask_beside("", b"HTTP/1.1 103 Early Hints\r\n\r\n").await;
    assert!(took < HELD, "timers were held for {took:?}");
    assert!(matches!(outcome, Some(Err(web::Error::Broken { .. }))), "{outcome:?}");
  });
}

/// A backend server that sends the body of an answer to another request without end does not hold the event loop, and
/// the connection is given up before its bytes fill the memory.
#[test]
fn an_endless_answer_to_another_request_does_not_hold_the_event_loop() {
  const SENT_MAX: usize = 32 << 20;
  for start in [
    "HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 99999999999\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-id: old\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-id: old\r\n\r\n",
  ] {
    run(async move {
      let (took, outcome, sent_bytes) = ask_beside(start, b"5\r\nbytes\r\n").await;
      assert!(took < HELD, "timers were held for {took:?}");
      assert!(matches!(outcome, Some(Err(web::Error::Broken { .. }))), "{outcome:?}");
      assert!(sent_bytes < SENT_MAX, "{sent_bytes} bytes of another answer were taken");
    });
  }
}

/// A backend server that sends a head without end, or bytes that are no answer, does not hold the event loop.
#[test]
fn endless_bytes_that_are_no_answer_do_not_hold_the_event_loop() {
  for start in ["HTTP/1.1 200 OK\r\nx-id: new\r\n", ""] {
    run(async move {
      let (took, outcome, _) = ask_beside(start, b"x-more: of it\r\n").await;
      assert!(took < HELD, "timers were held for {took:?}");
      assert!(matches!(outcome, Some(Err(_))), "{outcome:?}");
    });
  }
}

/// An answer whose body has no end does not hold the event loop while it passes on to a caller that reads all of it.
#[test]
fn an_endless_answer_that_is_passed_on_does_not_hold_the_event_loop() {
  run(async {
    let start = "HTTP/1.1 200 OK\r\nx-id: new\r\ntransfer-encoding: chunked\r\n\r\n";
    let (address, peer) = endless_server(start, b"5\r\nbytes\r\n");
    let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let front = listener.address().expect("bound");
    Server::start(listener, move |_: Request<Incoming>| async move {
      match ask(address).await {
        Ok(response) => response.map(web::AnyBody::streamed),
        Err(err) => web::text(StatusCode::BAD_GATEWAY, err.to_string()),
      }
    });
    let open = move || {
      let mut stream = TcpStream::connect(front).expect("connected");
      stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("sent");
      stream
    };
    let caller = Peer::start(open, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    let took = peer.watch().await;
    assert!(took < HELD, "timers were held for {took:?}");
    assert!(caller.sent_bytes() > 0);
  });
}

/// Starts a server, and a caller that sends `start` and then `piece` without end. Returns how long the event loop's
/// timers took beside, and how many requests were handled.
async fn serve_beside(start: &'static str, piece: &'static [u8]) -> (Duration, usize) {
  let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
  let address = listener.address().expect("bound");
  let handled = Rc::new(Cell::new(0));
  let counted = handled.clone();
  Server::start(listener, move |request: Request<Incoming>| {
    counted.set(counted.get() + 1);
    async move {
      if request.uri().path() == "/taken" {
        web::collect(request.into_body(), usize::MAX).await.ok();
      }
      web::text(StatusCode::NOT_FOUND, "no route")
    }
  });
  let open = move || {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(start.as_bytes()).expect("the start is sent");
    stream
  };
  let caller = Peer::start(open, piece);
  let took = caller.watch().await;
  (took, handled.get())
}

/// A caller that pipelines requests which are answered at once does not hold the event loop.
#[test]
fn endless_pipelined_requests_do_not_hold_the_event_loop() {
  run(async {
    let (took, handled) = serve_beside("", b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(took < HELD, "timers were held for {took:?}");
    assert!(handled > 100, "only {handled} requests were handled");
  });
}

/// A caller that sends a body without end does not hold the event loop, whether the body is read or not, nor one that
/// sends empty lines or goes on sending after the last answer.
#[test]
fn endless_bytes_of_a_caller_do_not_hold_the_event_loop() {
  const CHUNKED: &str = " HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
  const CLOSE: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
  let taken = format!("POST /taken{CHUNKED}").leak();
  let refused = format!("POST /refused{CHUNKED}").leak();
  let chunk: &[u8] = b"5\r\nbytes\r\n";
  for (start, piece) in [(&*taken, chunk), (&*refused, chunk), (CLOSE, chunk), ("", b"\r\n")] {
    run(async move {
      let (took, _) = serve_beside(start, piece).await;
      assert!(took < HELD, "timers were held for {took:?} after {start:?}");
    });
  }
}

/// A peer that opens a link and sends pings, or parts of a message, without end does not hold the event loop.
#[test]
fn endless_frames_on_a_link_do_not_hold_the_event_loop() {
  /// An empty ping, and an empty part of a message that goes on, each masked by zero.
  const FRAMES: [&[u8]; 2] = [&[0x89, 0x80, 0, 0, 0, 0], &[0x00, 0x80, 0, 0, 0, 0]];
  for frame in FRAMES {
    run(async move {
      let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
      let address = listener.address().expect("bound");
      let credentials = Credentials {
        box_id: "own".parse().expect("a box"),
        key: FleetKey::new("a secret of the fleet"),
      };
      monoio::spawn(async move {
        let (stream, _) = listener.accept().await;
        credentials.accept(stream, 1).await.ok();
      });
      let open = move || {
        let stream = TcpStream::connect(address).expect("connected");
        let raw = stream.try_clone().expect("a handle");
        let (mut socket, _) = tungstenite::client("ws://own/link", stream).expect("opened");
        assert!(matches!(socket.read(), Ok(Message::Binary(_))), "a challenge comes first");
        let mut raw = raw;
        // The first part of a message.
        raw.write_all(&[0x02, 0x80, 0, 0, 0, 0]).expect("sent");
        raw
      };
      let peer = Peer::start(open, frame);
      let took = peer.watch().await;
      assert!(took < HELD, "timers were held for {took:?}");
      assert!(peer.sent_bytes() > 0);
    });
  }
}

/// Callers that open connections without end do not hold the event loop.
#[test]
fn endless_connections_do_not_hold_the_event_loop() {
  run(async {
    let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.address().expect("bound");
    Server::start(listener, |_: Request<Incoming>| async { web::text(StatusCode::OK, "") });
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2)
      .map(|_| {
        let stopped = stopped.clone();
        thread::spawn(move || {
          let began = Instant::now();
          while !stopped.load(Ordering::SeqCst) && began.elapsed().as_secs() < PEER_MAX_S {
            drop(TcpStream::connect(address));
          }
        })
      })
      .collect();
    let began = Instant::now();
    monoio::time::sleep(Duration::from_millis(BESIDE_MS)).await;
    let took = began.elapsed();
    stopped.store(true, Ordering::SeqCst);
    for caller in callers {
      caller.join().expect("the caller ends");
    }
    assert!(took < HELD, "timers were held for {took:?}");
  });
}
