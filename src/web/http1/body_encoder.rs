use super::*;

/// Encodes the body of a message with its framing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEncoder {
  /// Chunked transfer coding.
  Chunked,
  /// No body follows, whatever the header fields say.
  Empty,
  /// A body of known length, of which this many bytes are still to be written.
  Length(u64),
  /// The body ends with the connection.
  UntilClose,
}

impl BodyEncoder {
  /// Selects the framing of a body of `size` bytes, if known.
  pub fn of(size: Option<u64>, supports_chunked: bool) -> Self {
    match size {
      Some(size) => Self::Length(size),
      None if supports_chunked => Self::Chunked,
      None => Self::UntilClose,
    }
  }

  /// Writes the header field of the framing. `bodiless` messages need none for an empty body.
  pub(super) fn put_field(self, bodiless: bool, out: &mut BytesMut) {
    match self {
      Self::Chunked => headers::put_field("transfer-encoding", b"chunked", out),
      Self::Length(0) if bodiless => {}
      Self::Length(length) => {
        headers::put_field("content-length", length.to_string().as_bytes(), out);
      }
      Self::Empty | Self::UntilClose => {}
    }
  }

  /// Writes a part of the body. Returns whether it fits the declared length.
  #[must_use]
  pub fn put(&mut self, data: &[u8], out: &mut BytesMut) -> bool {
    match self {
      Self::Chunked if data.is_empty() => true,
      Self::Chunked => {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
        true
      }
      Self::Empty => true,
      Self::Length(left) => {
        let fits = data.len() as u64 <= *left;
        *left = left.saturating_sub(data.len() as u64);
        out.extend_from_slice(data);
        fits
      }
      Self::UntilClose => {
        out.extend_from_slice(data);
        true
      }
    }
  }

  /// Ends the body. Returns whether all of its declared length was written.
  #[must_use]
  pub fn finish(&mut self, out: &mut BytesMut) -> bool {
    match self {
      Self::Chunked => {
        out.extend_from_slice(b"0\r\n\r\n");
        true
      }
      Self::Length(left) => *left == 0,
      Self::Empty | Self::UntilClose => true,
    }
  }
}
