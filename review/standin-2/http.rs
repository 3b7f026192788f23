//! HTTP/1.1 over blocking sockets.

use std::{
  collections::BTreeMap,
  io::{self, BufRead, BufReader, Write},
  net::{SocketAddr, TcpStream},
  time::Duration,
};

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
  pub line: String,
  pub fields: BTreeMap<String, String>,
}

impl Head {
  /// Reads a head; `None` at the end of the connection.
  pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
    let mut head = Self::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
      return Ok(None);
    }
    head.line = line.trim_end().into();
    loop {
      let mut line = String::new();
      if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
      }
      let line = line.trim_end();
      if line.is_empty() {
        return Ok(Some(head));
      }
      if let Some((name, value)) = line.split_once(':') {
        head.fields.insert(name.to_ascii_lowercase(), value.trim().into());
      }
    }
  }

  pub fn field(&self, name: &str) -> &str {
    self.fields.get(name).map_or("", String::as_str)
  }

  pub fn word(&self, index: usize) -> &str {
    self.line.split(' ').nth(index).unwrap_or_default()
  }

  pub fn status(&self) -> u16 {
    self.word(1).parse().unwrap_or_default()
  }

  /// Reads the body that the head announces. A body without a length ends with the connection.
  pub fn body(&self, reader: &mut impl BufRead, is_answer: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if self.field("transfer-encoding") == "chunked" {
      loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
          return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut part = vec![0; size + 2];
        reader.read_exact(&mut part)?;
        body.extend_from_slice(&part[..size]);
        if size == 0 {
          return Ok(body);
        }
      }
    }
    match self.field("content-length").parse::<usize>() {
      Ok(length) => {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
      }
      Err(_) if is_answer => {
        reader.read_to_end(&mut body)?;
      }
      Err(_) => {}
    }
    Ok(body)
  }
}

/// An answer that came whole.
pub struct Answer {
  pub head: Head,
  pub body: Vec<u8>,
}

/// A requester's connection.
pub struct Connection {
  reader: BufReader<TcpStream>,
  stream: TcpStream,
}

impl Connection {
  pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
  }

  pub fn send(&mut self, method: &str, path: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let length = if body.is_empty() && method == "GET" {
      String::new()
    } else {
      format!("Content-Length: {}\r\n", body.len())
    };
    let head = format!("{method} {path} HTTP/1.1\r\n{fields}{length}\r\n");
    self.stream.write_all(&[head.as_bytes(), body].concat())
  }

  /// Waits for the next whole answer.
  pub fn answer(&mut self) -> io::Result<Answer> {
    loop {
      let head = Head::read(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
      if head.status() >= 200 {
        let body = head.body(&mut self.reader, true)?;
        return Ok(Answer { head, body });
      }
    }
  }
}

/// The header fields of a requester's request.
pub fn request_fields(host: &str, id: &str, deadline_ms: u64) -> String {
  format!("Host: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n")
}

/// Sends one request on a connection of its own.
pub fn ask(
  address: SocketAddr,
  method: &str,
  path: &str,
  fields: &str,
  body: &[u8],
  timeout: Duration,
) -> io::Result<Answer> {
  let mut connection = Connection::open(address, timeout)?;
  connection.send(method, path, fields, body)?;
  connection.answer()
}
