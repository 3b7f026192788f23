//! A fake HTTP store whose answers are scripted by the test.

use {
  ferryyoke::commands::block_on,
  monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
  },
  std::{future::Future, net::SocketAddr, rc::Rc, time::Duration},
};

/// One step of the store's answer to a request.
#[derive(Clone)]
pub enum Step {
  /// Sends these bytes.
  Send(Vec<u8>),
  /// Sends nothing for this many milliseconds.
  Wait(u64),
}

/// Runs a test, which fails after 20 seconds.
pub fn run(test: impl Future<Output = ()>) {
  block_on(async {
    let limit = Duration::from_secs(20);
    monoio::time::timeout(limit, test).await.expect("the test hangs");
  })
  .expect("an event loop");
}

/// Starts a store that answers each request with the steps that `answer` returns for its path.
pub fn store(answer: impl Fn(&str) -> Vec<Step> + 'static) -> SocketAddr {
  let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
  let address = listener.local_addr().expect("bound");
  let answer = Rc::new(answer);
  monoio::spawn(async move {
    while let Ok((stream, _)) = listener.accept().await {
      let answer = answer.clone();
      monoio::spawn(async move { serve(stream, answer.as_ref()).await });
    }
  });
  address
}

async fn serve(mut stream: TcpStream, answer: &dyn Fn(&str) -> Vec<Step>) {
  loop {
    let mut head = String::new();
    while !head.contains("\r\n\r\n") {
      let (read, buffer) = stream.read(vec![0; 4_096]).await;
      match read {
        Ok(count) if count > 0 => head.push_str(&String::from_utf8_lossy(&buffer[..count])),
        _ => return,
      }
    }
    let path = head.split(' ').nth(1).expect("a path").to_string();
    for step in answer(&path) {
      match step {
        Step::Send(bytes) => {
          if stream.write_all(bytes).await.0.is_err() {
            return;
          }
        }
        Step::Wait(wait_ms) => monoio::time::sleep(Duration::from_millis(wait_ms)).await,
      }
    }
  }
}

/// Returns the head of an answer whose body has `length` bytes.
pub fn head(length: usize) -> Vec<u8> {
  format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

/// Returns a step that sends a complete answer.
pub fn whole(body: &str) -> Step {
  Step::Send([head(body.len()), body.as_bytes().to_vec()].concat())
}
