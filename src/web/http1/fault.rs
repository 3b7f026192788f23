use super::*;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  /// The body is larger than allowed.
  BodyTooLarge,
  /// The head is larger than allowed.
  HeadTooLarge,
  /// A chunk of the body is malformed.
  MalformedChunk,
  /// The head violates RFC 9112.
  MalformedHead(&'static str),
  /// The transfer coding of the body is not supported.
  TransferCoding,
}

impl Fault {
  /// The status of the response to such a request.
  pub fn status(self) -> StatusCode {
    match self {
      Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
      Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
      Self::MalformedChunk | Self::MalformedHead(_) => StatusCode::BAD_REQUEST,
      Self::TransferCoding => StatusCode::NOT_IMPLEMENTED,
    }
  }
}

impl Display for Fault {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::BodyTooLarge => "the body is larger than allowed: send less at once",
      Self::HeadTooLarge => "the head is larger than allowed: send fewer or shorter header fields",
      Self::MalformedChunk => "a chunk of the body is malformed",
      Self::MalformedHead(reason) => reason,
      Self::TransferCoding => "the transfer coding is not known: send chunked, or a length",
    })
  }
}

impl StdError for Fault {}
