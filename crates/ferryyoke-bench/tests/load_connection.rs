//! What a connection of the load takes for a whole answer.

use {
  ferryyoke_bench::Connection,
  std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
  },
};

/// Whether a request is taken for answered if the server sends `answer` and closes.
fn is_taken(answer: &'static str) -> bool {
  let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
  let address = listener.local_addr().expect("bound");
  thread::spawn(move || {
    let (mut stream, _) = listener.accept().expect("a connection");
    assert!(matches!(stream.read(&mut [0; 4_096]), Ok(1..)), "a request comes");
    stream.write_all(answer.as_bytes()).expect("sent");
  });
  Connection::open(address).expect("connected").get("/").is_ok()
}

// Guards against a load that counts a part of an answer as a whole one, as its head tells no length.
#[test]
fn an_answer_is_taken_only_whole() {
  assert!(is_taken("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"));
  assert!(!is_taken("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole"));
  assert!(!is_taken("HTTP/1.1 200 OK\r\n\r\nwhole"));
  assert!(!is_taken("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n"));
}
