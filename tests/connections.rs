//! Tests connections of HTTP clients and servers on real sockets.

use {
  bytes::Bytes,
  ferryyoke::{
    commands::block_on,
    web::{self, AnyBody, CorrelationHeader, Incoming, Listener, Pool, Server},
  },
  futures_channel::oneshot,
  http::{HeaderName, HeaderValue, Request, Response, StatusCode},
  monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
  },
  std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
  },
};

fn run(test: impl Future<Output = ()>) {
  block_on(async {
    let limit = Duration::from_secs(20);
    monoio::time::timeout(limit, test).await.expect("the test hangs");
  })
  .expect("an event loop");
}

fn listener() -> (Listener, SocketAddr) {
  let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
  let address = listener.address().expect("bound");
  (listener, address)
}

/// Sends `text` and returns the bytes received until `until` holds or the connection ends.
async fn send_and_read(stream: &mut TcpStream, text: &str, until: impl Fn(&str) -> bool) -> String {
  stream.write_all(text.as_bytes().to_vec()).await.0.expect("sent");
  let mut got = String::new();
  while !until(&got) {
    let (read, buffer) = stream.read(vec![0; 4_096]).await;
    match read {
      Ok(count) if count > 0 => got.push_str(&String::from_utf8_lossy(&buffer[..count])),
      _ => break,
    }
  }
  got
}

#[test]
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
  run(async {
    let (listener, address) = listener();
    let (release, released) = oneshot::channel::<()>();
    let released = RefCell::new(Some(released));
    let released = Rc::new(released);
    let second_ran = Rc::new(RefCell::new(Some(release)));
    Server::start(listener, move |request: Request<Incoming>| {
      let (released, second_ran) = (released.clone(), second_ran.clone());
      async move {
        if request.uri().path() == "/first" {
          // The first request is answered only after the second one has run.
          let released = released.borrow_mut().take().expect("once");
          released.await.expect("the second runs");
        } else {
          second_ran.borrow_mut().take().expect("once").send(()).expect("awaited");
        }
        web::text(StatusCode::OK, request.uri().path().to_string())
      }
    });
    let mut stream = TcpStream::connect_addr(address).await.expect("connected");
    let text = "GET /first HTTP/1.1\r\nhost: a\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n";
    let got = send_and_read(&mut stream, text, |got| got.contains("/second")).await;
    assert!(got.find("/first") < got.find("/second"), "{got}");
  });
}

#[test]
fn a_pipelined_unsafe_request_waits_for_earlier_requests() {
  run(async {
    let (listener, address) = listener();
    let running = Rc::new(Cell::new(0));
    Server::start(listener, move |_: Request<Incoming>| {
      let running = running.clone();
      async move {
        running.set(running.get() + 1);
        let at_once = running.get();
        monoio::time::sleep(Duration::from_millis(5)).await;
        running.set(running.get() - 1);
        web::text(StatusCode::OK, format!("at once {at_once}."))
      }
    });
    let mut stream = TcpStream::connect_addr(address).await.expect("connected");
    let post = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    let text = format!("{post}{post}");
    let got = send_and_read(&mut stream, &text, |got| got.matches("at once").count() == 2).await;
    assert_eq!(got.matches("at once 1.").count(), 2, "{got}");
  });
}

/// Sends a message when dropped.
struct DropNotifier(Option<oneshot::Sender<()>>);

impl Drop for DropNotifier {
  fn drop(&mut self) {
    self.0.take().expect("once").send(()).ok();
  }
}

#[test]
fn a_disconnect_cancels_requests_despite_unread_bytes() {
  run(async {
    let (listener, address) = listener();
    let (drop_sender, dropped) = oneshot::channel();
    let drop_sender = Rc::new(RefCell::new(Some(drop_sender)));
    let (begin, begun) = oneshot::channel();
    let begin = Rc::new(RefCell::new(Some(begin)));
    Server::start(listener, move |request: Request<Incoming>| {
      let (drop_sender, begin) = (drop_sender.clone(), begin.clone());
      async move {
        let _notifier = DropNotifier(drop_sender.borrow_mut().take());
        begin.borrow_mut().take().expect("once").send(()).expect("awaited");
        let _kept = request;
        std::future::pending::<()>().await;
        web::text(StatusCode::OK, "never")
      }
    });
    let mut stream = TcpStream::connect_addr(address).await.expect("connected");
    let text = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nsome bytes of it";
    stream.write_all(text.as_bytes().to_vec()).await.0.expect("sent");
    begun.await.expect("the request runs");
    drop(stream);
    dropped.await.expect("the request is dropped");
  });
}

#[test]
fn an_answer_before_the_whole_request_closes_the_connection() {
  run(async {
    let (listener, address) = listener();
    Server::start(listener, |_: Request<Incoming>| async {
      web::text(StatusCode::SERVICE_UNAVAILABLE, "not now")
    });
    let mut stream = TcpStream::connect_addr(address).await.expect("connected");
    let text = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nsome bytes of it";
    let got = send_and_read(&mut stream, text, |_| false).await;
    assert!(got.contains("connection: close") && got.ends_with("not now"), "{got}");
  });
}

#[test]
fn a_stop_answers_received_requests_and_announces_the_close() {
  run(async {
    let (listener, address) = listener();
    let (begin, begun) = oneshot::channel();
    let begin = Rc::new(RefCell::new(Some(begin)));
    let (release, released) = oneshot::channel::<()>();
    let released = Rc::new(RefCell::new(Some(released)));
    let server = Server::start(listener, move |_: Request<Incoming>| {
      let (begin, released) = (begin.clone(), released.clone());
      async move {
        begin.borrow_mut().take().expect("once").send(()).expect("awaited");
        let released = released.borrow_mut().take().expect("once");
        released.await.expect("released");
        web::text(StatusCode::OK, "whole")
      }
    });
    let mut stream = TcpStream::connect_addr(address).await.expect("connected");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec()).await.0.expect("sent");
    begun.await.expect("the request runs");
    server.stop();
    release.send(()).expect("awaited");
    let got = send_and_read(&mut stream, "", |_| false).await;
    assert!(got.contains("connection: close") && got.ends_with("whole"), "{got}");
  });
}

// Guards against requests that a stop drops because they had arrived and were not read yet, as on a busy machine.
#[test]
fn a_stop_answers_requests_that_have_arrived_unread() {
  run(async {
    let (listener, address) = listener();
    let server = Server::start(listener, |_: Request<Incoming>| async {
      web::text(StatusCode::SERVICE_UNAVAILABLE, "this box stops")
    });
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    // Lets the server take the connection, and look for a request.
    monoio::time::sleep(Duration::from_millis(50)).await;
    std::io::Write::write_all(&mut stream, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("sent");
    server.stop();
    let mut stream = TcpStream::from_std(stream).expect("a stream");
    let answer = send_and_read(&mut stream, "", |got| got.contains("stops")).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer}");
  });
}

/// Starts a server whose answers break off.
fn breaking_server() -> SocketAddr {
  let (listener, address) = listener();
  Server::start(listener, |_: Request<Incoming>| async {
    let parts: Vec<Result<_, web::BodyError>> =
      vec![Ok(http_body::Frame::data(Bytes::from_static(b"half"))), Err("broken".into())];
    let stream = http_body_util::StreamBody::new(futures_util::stream::iter(parts));
    Response::new(AnyBody::streamed(stream))
  });
  address
}

#[test]
fn a_truncated_answer_does_not_look_complete() {
  run(async {
    let address = breaking_server();
    let mut stream = TcpStream::connect_addr(address).await.expect("connected");
    let got = send_and_read(&mut stream, "GET / HTTP/1.1\r\nhost: a\r\n\r\n", |_| false).await;
    assert!(got.contains("chunked") && !got.contains("0\r\n\r\n"), "{got}");
  });
}

// Guards against a part of an answer that looks whole to a client without chunks, as its end is that of the connection.
#[test]
fn a_truncated_answer_to_a_client_without_chunks_is_an_error() {
  run(async {
    let mut stream = TcpStream::connect_addr(breaking_server()).await.expect("connected");
    let got = send_and_read(&mut stream, "GET / HTTP/1.0\r\nhost: a\r\n\r\n", |_| false).await;
    assert!(got.starts_with("HTTP/1.1 502 ") && !got.contains("half"), "{got}");
  });
}

/// Starts a server that sends one of `answers` per connection after it read a request head.
fn scripted_server(answers: &[&'static str]) -> SocketAddr {
  let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
  let address = listener.local_addr().expect("bound");
  let answers = answers.to_vec();
  monoio::spawn(async move {
    for answer in answers {
      let (mut stream, _) = listener.accept().await.expect("a connection");
      let mut head = Vec::new();
      while !head.ends_with(b"\r\n\r\n") {
        let (read, buffer) = stream.read(vec![0; 1_024]).await;
        match read {
          Ok(count) if count > 0 => head.extend_from_slice(&buffer[..count]),
          _ => break,
        }
      }
      stream.write_all(answer.as_bytes().to_vec()).await.0.ok();
      stream.shutdown().await.ok();
    }
    std::future::pending::<()>().await;
  });
  address
}

async fn ask(pool: &Rc<Pool>, address: SocketAddr, id: &'static str) -> web::Result<String> {
  let name = HeaderName::from_static("x-id");
  let value = HeaderValue::from_static(id);
  let request = Request::get("/").header("host", "a").header(&name, &value);
  let request = request.body(web::empty()).expect("a head");
  let client = pool.checkout(address).await?;
  let response = pool.send(client, request, Some(CorrelationHeader { name, value })).await?;
  let body = web::collect(response.into_body(), 1_000).await?;
  Ok(String::from_utf8_lossy(&body).to_string())
}

const LATE: &str = "HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 4\r\n\r\nlate";

#[test]
fn an_answer_to_another_request_is_discarded() {
  run(async {
    let both = "HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 4\r\n\r\nlate\
                HTTP/1.1 200 OK\r\nx-id: new\r\ncontent-length: 3\r\n\r\nown";
    let address = scripted_server(&[both, LATE]);
    let pool = Rc::new(Pool::new(1_000));
    assert_eq!(ask(&pool, address, "new").await.expect("answered"), "own");
    let err = ask(&pool, address, "new").await.expect_err("only a late answer came");
    assert!(!err.is_unsent(), "{err}");
  });
}

#[test]
fn a_connection_with_surplus_bytes_is_not_reused() {
  run(async {
    let surplus = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\n1\
                   HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 5\r\n\r\nwrong";
    let clean = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 1\r\n\r\n2";
    let address = scripted_server(&[surplus, clean]);
    let pool = Rc::new(Pool::new(1_000));
    assert_eq!(ask(&pool, address, "a").await.expect("answered"), "1");
    assert_eq!(ask(&pool, address, "b").await.expect("answered"), "2");
  });
}

#[test]
fn an_answer_without_a_length_ends_with_the_connection() {
  run(async {
    let unframed = "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\nuntil the end";
    let cut = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 10\r\n\r\ncut";
    let unnamed = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n3";
    let address = scripted_server(&[unframed, cut, unnamed]);
    let pool = Rc::new(Pool::new(1_000));
    assert_eq!(ask(&pool, address, "a").await.expect("answered"), "until the end");
    ask(&pool, address, "b").await.expect_err("cut answers are no answers");
    ask(&pool, address, "c").await.expect_err("an answer names its request");
  });
}

/// Guards against an answer whose server stopped in the middle of its head, or of its body, and closed, and which callers
/// get as a whole one with an empty or short body.
#[test]
fn an_answer_cut_at_any_byte_is_no_answer() {
  const WHOLE: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-id: a\r\n\r\nwhole",
  ];
  run(async {
    for whole in WHOLE {
      let cuts: Vec<&str> = (0..=whole.len()).map(|end| &whole[..end]).collect();
      let (backend, pool) = (scripted_server(&cuts), Rc::new(Pool::new(1_000)));
      let (listener, front) = listener();
      Server::start(listener, move |_: Request<Incoming>| {
        let pool = pool.clone();
        async move {
          let (name, value) = (HeaderName::from_static("x-id"), HeaderValue::from_static("a"));
          let request = Request::get("/").header("host", "a").header(&name, &value);
          let request = request.body(web::empty()).expect("a head");
          let client = pool.connect(backend).await.expect("connected");
          match pool.send(client, request, Some(CorrelationHeader { name, value })).await {
            Ok(response) => response.map(AnyBody::streamed),
            Err(err) => web::text(StatusCode::BAD_GATEWAY, err.to_string()),
          }
        }
      });
      for cut in &cuts {
        let asked = ask(&Rc::new(Pool::new(1_000)), front, "a").await;
        let is_whole = asked.as_ref().is_ok_and(|body| body == "whole");
        assert_eq!(is_whole, cut.len() == whole.len(), "{cut:?}: {asked:?}");
        let looks_whole = asked.is_ok_and(|body| !body.contains("connection"));
        assert_eq!(looks_whole, cut.len() == whole.len(), "{cut:?}");
      }
    }
  });
}

#[test]
fn a_pooled_connection_that_its_server_closed_is_replaced() {
  run(async {
    let first = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\n1";
    let second = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 1\r\n\r\n2";
    let address = scripted_server(&[first, second]);
    let pool = Rc::new(Pool::new(1_000));
    assert_eq!(ask(&pool, address, "a").await.expect("answered"), "1");
    monoio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(ask(&pool, address, "b").await.expect("answered"), "2");
  });
}

#[test]
fn a_body_with_expect_continue_is_sent_only_after_the_continue() {
  run(async {
    let (listener, address) = listener();
    Server::start(listener, |request: Request<Incoming>| async move {
      if request.uri().path() == "/refused" {
        return web::text(StatusCode::SERVICE_UNAVAILABLE, "not now");
      }
      let body = web::collect(request.into_body(), 1 << 20).await.expect("a body");
      web::text(StatusCode::OK, format!("{} bytes", body.len()))
    });
    let pool = Rc::new(Pool::new(1_000));
    for (path, status) in [("/taken", 200), ("/refused", 503)] {
      let read = Rc::new(Cell::new(0));
      let counted = read.clone();
      let pieces = futures_util::stream::iter((0..10).map(move |_| {
        counted.set(counted.get() + 1);
        Ok::<_, web::BodyError>(http_body::Frame::data(Bytes::from_static(&[7; 10_000])))
      }));
      let body = AnyBody::streamed(http_body_util::StreamBody::new(pieces));
      let request = Request::post(path).header("host", "a").header("expect", "100-continue");
      let request = request.body(body).expect("a head");
      let client = pool.checkout(address).await.expect("connected");
      let response = pool.send(client, request, None).await.expect("answered");
      assert_eq!(response.status(), status);
      assert_eq!(read.get() > 0, status == 200, "{path}");
      let body = web::collect(response.into_body(), 1_000).await.expect("whole");
      assert!(status != 200 || body == "100000 bytes", "{body:?}");
    }
  });
}
