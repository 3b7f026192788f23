//! Many connections of clients that don't behave.

use {
  rustix::process::{Resource, Rlimit, getrlimit, setrlimit},
  std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
  },
};

/// Milliseconds without a byte taken by the server after which a crowd has sent what it can.
const SETTLED_MS: u64 = 1_500;

/// Milliseconds after which a crowd stops sending at the latest.
const SENDING_MAX_MS: u64 = 30_000;

/// Milliseconds after which a server that takes no connection gets no more of them.
const CONNECT_MAX_MS: u64 = 500;

/// Connections that have sent their bytes, as far as the server took them, and stay open.
pub struct Crowd {
  /// Connections that the server has not closed.
  pub members: Vec<TcpStream>,
}

impl Crowd {
  /// Opens `connections`, and sends `bytes` on each.
  pub async fn gather(address: SocketAddr, connections: usize, bytes: Vec<u8>) -> Self {
    Self::gather_after(address, connections, &[], bytes).await
  }

  /// Opens `connections`, sends `opening` on each, and `bytes` once that is answered.
  pub async fn gather_after(
    address: SocketAddr,
    connections: usize,
    opening: &[u8],
    bytes: Vec<u8>,
  ) -> Self {
    allow_descriptors();
    let (send, received) = mpsc::channel();
    let (bytes, opening): (Arc<[u8]>, Arc<[u8]>) = (bytes.into(), opening.into());
    thread::spawn(move || send.send(Self::send(address, connections, &opening, &bytes)));
    loop {
      if let Ok(crowd) = received.try_recv() {
        return crowd;
      }
      monoio::time::sleep(Duration::from_millis(super::LOOK_MS)).await;
    }
  }

  fn send(address: SocketAddr, connections: usize, opening: &[u8], bytes: &[u8]) -> Self {
    let began = Instant::now();
    let mut members: Vec<Member> = Vec::new();
    let mut took_at = Instant::now();
    let mut is_full = false;
    while began.elapsed() < Duration::from_millis(SENDING_MAX_MS) {
      if !is_full {
        let opened = Member::open(address, opening);
        is_full = opened.is_none() || members.len() + 1 == connections;
        members.extend(opened);
      }
      let taken: usize = members.iter_mut().map(|member| member.send(bytes)).sum();
      if taken > 0 {
        took_at = Instant::now();
      } else {
        thread::sleep(Duration::from_millis(1));
      }
      if is_full && took_at.elapsed() > Duration::from_millis(SETTLED_MS) {
        break;
      }
    }
    Self { members: members.into_iter().filter_map(|member| member.stream).collect() }
  }
}

/// Sends `bytes` on a connection of its own, and returns the start of what is answered.
pub async fn exchange(address: SocketAddr, bytes: Vec<u8>) -> String {
  let (send, received) = mpsc::channel();
  thread::spawn(move || {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(&bytes).expect("sent");
    let mut start = [0; 1_024];
    let count = stream.read(&mut start).unwrap_or(0);
    send.send(String::from_utf8_lossy(&start[..count]).into_owned())
  });
  loop {
    if let Ok(answer) = received.try_recv() {
      return answer;
    }
    monoio::time::sleep(Duration::from_millis(super::LOOK_MS)).await;
  }
}

/// Reads a whole answer. Returns its status, or `None` if the connection ends before.
pub fn read_answer(stream: &mut TcpStream) -> Option<u16> {
  let mut head = Vec::new();
  while !head.ends_with(b"\r\n\r\n") {
    head.push(read_byte(stream)?);
  }
  let head = String::from_utf8(head).expect("a head").to_ascii_lowercase();
  let field = |name: &str| {
    head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')).map(str::trim)
  };
  if field("transfer-encoding").is_some() {
    let mut body = Vec::new();
    while !body.ends_with(b"\r\n0\r\n\r\n") && body != b"0\r\n\r\n" {
      body.push(read_byte(stream)?);
    }
  } else {
    let length = field("content-length").expect("a length").parse().expect("a number");
    stream.read_exact(&mut vec![0; length]).ok()?;
  }
  head.split(' ').nth(1)?.parse().ok()
}

fn read_byte(stream: &mut TcpStream) -> Option<u8> {
  let mut byte = [0];
  stream.read_exact(&mut byte).ok()?;
  Some(byte[0])
}

/// One connection.
struct Member {
  sent_bytes: usize,
  /// `None` once the server closed it.
  stream: Option<TcpStream>,
}

impl Member {
  fn open(address: SocketAddr, opening: &[u8]) -> Option<Self> {
    let limit = Duration::from_millis(CONNECT_MAX_MS);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    if !opening.is_empty() {
      stream.set_read_timeout(Some(limit)).ok()?;
      stream.write_all(opening).ok()?;
      let is_answered = stream.read(&mut [0; 1_024]).is_ok_and(|count| count > 0);
      // A server that closes the connection instead is no reason to stop.
      if !is_answered {
        return Some(Self { sent_bytes: 0, stream: None });
      }
    }
    stream.set_nonblocking(true).ok()?;
    Some(Self { sent_bytes: 0, stream: Some(stream) })
  }

  /// Sends what the connection takes. Returns the number of bytes.
  fn send(&mut self, bytes: &[u8]) -> usize {
    let left = &bytes[self.sent_bytes..];
    let Some(stream) = self.stream.as_mut().filter(|_| !left.is_empty()) else {
      return 0;
    };
    match stream.write(left) {
      Ok(taken) => {
        self.sent_bytes += taken;
        taken
      }
      Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => 0,
      Err(_) => {
        self.stream = None;
        0
      }
    }
  }
}

/// Raises this process' limit on open descriptors as far as it may.
fn allow_descriptors() {
  let limit = getrlimit(Resource::Nofile);
  let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
  setrlimit(Resource::Nofile, raised).expect("the limit is raised");
}
