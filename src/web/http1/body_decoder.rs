use super::*;

/// Decodes the body of one message from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
  state: State,
  /// Body bytes that are still allowed.
  left_max: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
  ChunkData(u64),
  ChunkEnd,
  ChunkSize,
  Done,
  Length(u64),
  Trailers,
  UntilClose,
}

/// The result of a decoding step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decoded {
  /// A part of the body.
  Data(Bytes),
  /// The body is complete; bytes that follow belong to the next message.
  End,
  /// More bytes are needed.
  Incomplete,
}

impl BodyDecoder {
  /// Longest chunk-size line in bytes, with its extensions, which are ignored.
  const CHUNK_LINE_MAX: usize = 256;
  /// Largest trailer section in bytes.
  const TRAILERS_MAX: usize = 8_192;

  /// A decoder of a message without a body.
  pub fn empty() -> Self {
    Self { left_max: 0, state: State::Done }
  }

  /// A decoder of a body of `length` bytes.
  pub fn length(length: u64) -> Self {
    let state = if length == 0 { State::Done } else { State::Length(length) };
    Self { left_max: length, state }
  }

  /// A decoder of a chunked body of at most `bytes_max` bytes.
  pub fn chunked(bytes_max: u64) -> Self {
    Self { left_max: bytes_max, state: State::ChunkSize }
  }

  /// A decoder of a body that ends with the connection.
  pub fn until_close() -> Self {
    Self { left_max: u64::MAX, state: State::UntilClose }
  }

  /// The size of the body in bytes, if known in advance.
  pub fn exact(&self) -> Option<u64> {
    match self.state {
      State::Done => Some(0),
      State::Length(length) => Some(length),
      _ => None,
    }
  }

  /// Whether the body is complete.
  pub fn is_done(&self) -> bool {
    self.state == State::Done
  }

  /// Whether the end of the connection marks the end of the body.
  pub fn ends_with_connection(&self) -> bool {
    self.state == State::UntilClose
  }

  /// Takes the next part of the body from the front of `bytes`.
  pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Decoded> {
    loop {
      match self.state {
        State::Done => return Ok(Decoded::End),
        _ if bytes.is_empty() => return Ok(Decoded::Incomplete),
        State::UntilClose => return Ok(Decoded::Data(bytes.split().freeze())),
        State::Length(left) => return Ok(self.take_data(bytes, left, State::Length, State::Done)),
        State::ChunkData(left) => {
          return Ok(self.take_data(bytes, left, State::ChunkData, State::ChunkEnd));
        }
        State::ChunkEnd if bytes.len() < 2 => return Ok(Decoded::Incomplete),
        State::ChunkEnd => {
          if !bytes.starts_with(b"\r\n") {
            return Err(Fault::MalformedChunk);
          }
          bytes.advance(2);
          self.state = State::ChunkSize;
        }
        State::ChunkSize => {
          if !self.take_size(bytes)? {
            return Ok(Decoded::Incomplete);
          }
        }
        State::Trailers => {
          if !self.take_trailers(bytes)? {
            return Ok(Decoded::Incomplete);
          }
        }
      }
    }
  }

  fn take_data(
    &mut self,
    bytes: &mut BytesMut,
    left: u64,
    rest: fn(u64) -> State,
    after: State,
  ) -> Decoded {
    let taken = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
    let data = bytes.split_to(taken).freeze();
    let left = left - data.len() as u64;
    self.state = if left == 0 { after } else { rest(left) };
    Decoded::Data(data)
  }

  /// Takes a chunk-size line. Returns whether it was complete.
  fn take_size(&mut self, bytes: &mut BytesMut) -> Result<bool> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
      return if bytes.len() > Self::CHUNK_LINE_MAX {
        Err(Fault::MalformedChunk)
      } else {
        Ok(false)
      };
    };
    let line = &bytes[..=end];
    // The parser reads a line without digits as a size of zero.
    let has_size = line[0].is_ascii_hexdigit();
    if !has_size || !line.ends_with(b"\r\n") || line.len() > Self::CHUNK_LINE_MAX {
      return Err(Fault::MalformedChunk);
    }
    let Ok(httparse::Status::Complete((_, size))) = httparse::parse_chunk_size(line) else {
      return Err(Fault::MalformedChunk);
    };
    bytes.advance(end + 1);
    self.left_max = self.left_max.checked_sub(size).ok_or(Fault::BodyTooLarge)?;
    self.state = if size == 0 { State::Trailers } else { State::ChunkData(size) };
    Ok(true)
  }

  /// Skips the trailer section. Returns whether it was complete.
  fn take_trailers(&mut self, bytes: &mut BytesMut) -> Result<bool> {
    if bytes.starts_with(b"\r\n") {
      bytes.advance(2);
      self.state = State::Done;
      return Ok(true);
    }
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
      return if bytes.len() > Self::TRAILERS_MAX { Err(Fault::MalformedChunk) } else { Ok(false) };
    };
    bytes.advance(end + 4);
    self.state = State::Done;
    Ok(true)
  }
}
