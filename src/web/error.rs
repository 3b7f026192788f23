use super::*;

/// Why an exchange over HTTP failed.
#[derive(Clone, Debug)]
pub enum Error {
  /// The connection broke; the peer may have acted on the request.
  Broken {
    /// What went wrong.
    reason: String,
  },
  /// The peer's message violates HTTP.
  Malformed(http1::Fault),
  /// The process had no room for it, so it was given up.
  NoRoom {
    /// What there was too much of.
    reason: String,
  },
  /// A timeout passed; the peer may have acted on the request.
  TimedOut {
    /// What was awaited, and for how long.
    reason: String,
  },
  /// The body is larger than allowed.
  TooLarge {
    /// The limit in bytes.
    bytes_max: usize,
  },
  /// No connection could be made, so nothing was sent.
  Unreachable {
    /// The peer.
    address: SocketAddr,
    /// What went wrong.
    reason: String,
    /// Whether the connection was refused, so that nothing listens at the address.
    refused: bool,
  },
  /// The connection closed before a byte of the request was sent.
  Unsent {
    /// What went wrong.
    reason: String,
  },
}

impl Error {
  /// Whether it is certain that the peer received nothing of the request.
  pub fn is_unsent(&self) -> bool {
    matches!(self, Self::NoRoom { .. } | Self::Unreachable { .. } | Self::Unsent { .. })
  }
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Broken { reason } => write!(f, "the connection broke: {reason}"),
      Self::Malformed(fault) => fault.fmt(f),
      Self::NoRoom { reason } => write!(f, "{reason}: try again later"),
      Self::TimedOut { reason } => f.write_str(reason),
      Self::TooLarge { bytes_max } => {
        write!(f, "the body is larger than {bytes_max} bytes: send less at once")
      }
      Self::Unreachable { address, reason, .. } => {
        write!(f, "no connection to {address} ({reason}): check that it is up")
      }
      Self::Unsent { reason } => {
        write!(f, "the connection closed before the request was sent: {reason}")
      }
    }
  }
}

impl StdError for Error {}
