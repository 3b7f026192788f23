use super::*;

use std::{
  io::{Read, Write},
  net::TcpStream,
};

/// A kept connection on which one request follows another. It blocks, so that the time of an answer
/// is taken without a scheduler in between.
pub struct Connection {
  address: SocketAddr,
  buffer: Vec<u8>,
  stream: TcpStream,
}

impl Connection {
  /// Longest wait for an answer.
  const TIMEOUT: Duration = Duration::from_secs(10);

  /// Connects to `address`.
  pub fn open(address: SocketAddr) -> Result<Self> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Self::TIMEOUT))?;
    Ok(Self { address, buffer: Vec::new(), stream })
  }

  /// Asks for `path` and reads the whole answer. Returns its status.
  pub fn get(&mut self, path: &str) -> Result<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", self.address);
    self.stream.write_all(request.as_bytes())?;
    self.buffer.clear();
    let head = loop {
      if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
        break end + 4;
      }
      self.read_some()?;
    };
    let text = String::from_utf8_lossy(&self.buffer[..head]).to_lowercase();
    let status = text.split(' ').nth(1).and_then(|text| text.parse().ok());
    let length = text.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while self.buffer.len() < head + length {
      self.read_some()?;
    }
    if text.contains("connection: close") {
      *self = Self::open(self.address)?;
    }
    status.ok_or_else(|| Error::Unexpected("an answer without a status".into()))
  }

  fn read_some(&mut self) -> Result {
    let mut piece = [0; 4_096];
    let count = self.stream.read(&mut piece)?;
    if count == 0 {
      return Err(Error::Unexpected("the connection closed".into()));
    }
    self.buffer.extend_from_slice(&piece[..count]);
    Ok(())
  }
}
