use super::*;

/// Why an exchange over HTTP failed.
#[derive(Debug)]
pub enum Error {
  /// The connection broke; the peer may have acted on the request.
  Broken {
    /// What went wrong.
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
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Broken { reason } => write!(f, "the connection broke: {reason}"),
      Self::TooLarge { bytes_max } => {
        write!(f, "the body is larger than {bytes_max} bytes: send less at once")
      }
      Self::Unreachable { address, reason } => {
        write!(f, "no connection to {address} ({reason}): check that it is up")
      }
    }
  }
}

impl StdError for Error {}
