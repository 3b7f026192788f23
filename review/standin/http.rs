//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or an answer that was read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
  /// The request line or status line.
  pub first: String,
  pub headers: Vec<(String, String)>,
  pub body: Vec<u8>,
}

impl Message {
  pub fn header(&self, name: &str) -> Option<&str> {
    let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
  }

  pub fn method(&self) -> &str {
    self.first.split(' ').next().unwrap_or("")
  }

  pub fn target(&self) -> &str {
    self.first.split(' ').nth(1).unwrap_or("")
  }

  pub fn status(&self) -> u16 {
    self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
  }

  pub fn closes(&self) -> bool {
    self.header("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
  }
}

/// Reads from a connection, with what was read beyond a message kept for the next one.
pub struct Reader {
  pub stream: TcpStream,
  pub left: Vec<u8>,
}

impl Reader {
  pub fn new(stream: TcpStream) -> Self {
    Self { stream, left: Vec::new() }
  }

  fn more(&mut self) -> io::Result<bool> {
    let mut piece = [0; 16_384];
    let count = self.stream.read(&mut piece)?;
    self.left.extend_from_slice(&piece[..count]);
    Ok(count > 0)
  }

  /// Reads the next head; `None` where the connection ended before it.
  pub fn head(&mut self) -> io::Result<Option<Message>> {
    let end = loop {
      if let Some(end) = self.left.windows(4).position(|four| four == b"\r\n\r\n") {
        break end;
      }
      if !self.more()? {
        return Ok(None);
      }
    };
    let head: Vec<u8> = self.left.drain(..end + 4).collect();
    let text = String::from_utf8_lossy(&head[..end]).to_string();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let headers = lines
      .filter_map(|line| line.split_once(':'))
      .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
      .collect();
    Ok(Some(Message { first, headers, body: Vec::new() }))
  }

  /// Reads the body that a head announces. `until_end`: an answer without a length ends with its connection.
  pub fn body(&mut self, head: &mut Message, until_end: bool) -> io::Result<()> {
    let broken = || io::Error::new(io::ErrorKind::UnexpectedEof, "the body broke off");
    if head.header("transfer-encoding").is_some() {
      loop {
        let line = loop {
          if let Some(end) = self.left.windows(2).position(|two| two == b"\r\n") {
            let line: Vec<u8> = self.left.drain(..end + 2).collect();
            break String::from_utf8_lossy(&line[..end]).to_string();
          }
          if !self.more()? {
            return Err(broken());
          }
        };
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| broken())?;
        while self.left.len() < size + 2 {
          if !self.more()? {
            return Err(broken());
          }
        }
        head.body.extend(self.left.drain(..size));
        self.left.drain(..2);
        if size == 0 {
          return Ok(());
        }
      }
    }
    match head.header("content-length").and_then(|value| value.parse::<usize>().ok()) {
      Some(size) => {
        while self.left.len() < size {
          if !self.more()? {
            return Err(broken());
          }
        }
        head.body = self.left.drain(..size).collect();
      }
      None if until_end => {
        while self.more()? {}
        head.body = std::mem::take(&mut self.left);
      }
      None => {}
    }
    Ok(())
  }

  /// Reads a whole request.
  pub fn request(&mut self) -> io::Result<Option<Message>> {
    let Some(mut head) = self.head()? else {
      return Ok(None);
    };
    self.body(&mut head, false)?;
    Ok(Some(head))
  }

  /// Reads a whole answer, past those of status 1xx.
  pub fn answer(&mut self) -> io::Result<Option<Message>> {
    loop {
      let Some(mut head) = self.head()? else {
        return Ok(None);
      };
      if (100..200).contains(&head.status()) {
        continue;
      }
      let bodiless = matches!(head.status(), 204 | 304);
      if !bodiless {
        self.body(&mut head, true)?;
      }
      return Ok(Some(head));
    }
  }
}

/// Writes an answer with a length.
pub fn answer(
  stream: &mut TcpStream,
  status: &str,
  headers: &[(&str, &str)],
  body: &[u8],
) -> io::Result<()> {
  let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
  for (name, value) in headers {
    out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
  }
  out.extend_from_slice(b"\r\n");
  out.extend_from_slice(body);
  stream.write_all(&out)
}

/// Writes an answer without a length, with half of its body, and resets the connection.
pub fn answer_and_reset(
  stream: &mut TcpStream,
  status: &str,
  headers: &[(&str, &str)],
  body: &[u8],
) -> Option<()> {
  let mut out = format!("HTTP/1.1 {status}\r\nConnection: close\r\n").into_bytes();
  for (name, value) in headers {
    out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
  }
  out.extend_from_slice(b"\r\n");
  out.extend_from_slice(&body[..body.len() / 2]);
  stream.write_all(&out).ok()?;
  // What is still in the socket would go with the reset.
  std::thread::sleep(std::time::Duration::from_millis(10));
  reset(stream);
  None
}

/// Has the connection reset when it is closed.
fn reset(stream: &TcpStream) {
  use std::os::fd::AsRawFd;
  extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
  }
  const SOL_SOCKET: i32 = 1;
  const SO_LINGER: i32 = 13;
  let at_once = [1, 0];
  // SAFETY: the descriptor is open, and the option's value is a pair of ints.
  unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &at_once, 8) };
}

/// Undoes the percent encoding of a query value.
pub fn decoded(text: &str) -> String {
  let bytes = text.as_bytes();
  let (mut out, mut at) = (Vec::new(), 0);
  while at < bytes.len() {
    let escaped = (bytes[at] == b'%')
      .then(|| text.get(at + 1..at + 3).and_then(|two| u8::from_str_radix(two, 16).ok()))
      .flatten();
    if let Some(byte) = escaped {
      out.push(byte);
      at += 3;
    } else {
      out.push(bytes[at]);
      at += 1;
    }
  }
  String::from_utf8_lossy(&out).to_string()
}

/// A value of a query.
pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
  let (_, query) = target.split_once('?')?;
  query.split('&').filter_map(|pair| pair.split_once('=')).find(|one| one.0 == name).map(|one| one.1)
}
