use super::*;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  /// The body is larger than allowed.
  BodyTooLarge,
  /// A chunk of the body is broken.
  Chunk,
  /// The head is not as RFC 9112 asks.
  Head(&'static str),
  /// The head is larger than allowed.
  HeadTooLarge,
  /// The coding of the body is not known.
  TransferCoding,
}

impl Fault {
  /// The status that tells the sender.
  pub fn status(self) -> StatusCode {
    match self {
      Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
      Self::Chunk | Self::Head(_) => StatusCode::BAD_REQUEST,
      Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
      Self::TransferCoding => StatusCode::NOT_IMPLEMENTED,
    }
  }
}

impl Display for Fault {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::BodyTooLarge => "the body is larger than allowed: send less at once",
      Self::Chunk => "a chunk of the body is malformed",
      Self::Head(reason) => reason,
      Self::HeadTooLarge => "the head is larger than allowed: send fewer or shorter header fields",
      Self::TransferCoding => "the transfer coding is not known: send chunked, or a length",
    })
  }
}

impl StdError for Fault {}
