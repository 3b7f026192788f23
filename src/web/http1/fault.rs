use super::*;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  /// The body is larger than allowed.
  BodyTooLarge,
  /// A chunk of the body is malformed.
  Chunk,
  /// The head violates RFC 9112.
  Head(&'static str),
  /// The head is larger than allowed.
  HeadTooLarge,
  /// The transfer coding of the body is not supported.
  TransferCoding,
}

impl Fault {
  /// The status of the response to such a request.
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
