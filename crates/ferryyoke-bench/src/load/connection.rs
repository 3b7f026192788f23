use super::*;

use std::{
  io::{Read, Write},
  net::TcpStream,
};

/// A blocking HTTP/1.1 keep-alive connection that sends one request at a time. Blocking I/O keeps
/// the delays of an async scheduler out of the measured latency.
pub struct Connection {
  address: SocketAddr,
  buffer: Vec<u8>,
  stream: TcpStream,
}

impl Connection {
  /// Longest wait for data of a response.
  const TIMEOUT: Duration = Duration::from_secs(10);

  /// Connects to `address`.
  pub fn open(address: SocketAddr) -> Result<Self> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Self::TIMEOUT))?;
    Ok(Self { address, buffer: Vec::new(), stream })
  }

  /// Sends a `GET` request for `path`, reads the whole response and returns its status. Reconnects
  /// if the server announces that it closes the connection. Fails if the response tells no length,
  /// as its end can't be told from its breaking off.
  pub fn get(&mut self, path: &str) -> Result<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", self.address);
    self.stream.write_all(request.as_bytes())?;
    self.buffer.clear();
    let head = loop {
      if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
        break end + 4;
      }
      self.read_more()?;
    };
    let text = String::from_utf8_lossy(&self.buffer[..head]).to_lowercase();
    let status = text.split(' ').nth(1).and_then(|text| text.parse().ok());
    let length = text.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    let length: usize = length
      .and_then(|text| text.parse().ok())
      .ok_or_else(|| Error::Unexpected("a response tells no length".into()))?;
    while self.buffer.len() < head + length {
      self.read_more()?;
    }
    if text.contains("connection: close") {
      *self = Self::open(self.address)?;
    }
    status.ok_or_else(|| Error::Unexpected("a response has no valid status line".into()))
  }

  fn read_more(&mut self) -> Result {
    let mut piece = [0; 4_096];
    let count = self.stream.read(&mut piece)?;
    if count == 0 {
      return Err(Error::Unexpected(
        "the server closed the connection before the response was complete".into(),
      ));
    }
    self.buffer.extend_from_slice(&piece[..count]);
    Ok(())
  }
}
