use super::*;

/// Why a link cannot be opened or ends.
#[derive(Debug)]
pub enum Error {
  /// The connection broke or could not be made.
  Broken {
    /// What went wrong.
    reason: String,
  },
  /// A message cannot be decoded.
  Malformed {
    /// What went wrong.
    reason: String,
  },
  /// The peer uses another version of the protocol.
  Protocol {
    /// The peer's version.
    found: u32,
  },
  /// The peer does not have the fleet key, or a frame was tampered with.
  Untrusted,
}

impl Error {
  /// The reason as a metric label.
  pub fn label(&self) -> &'static str {
    match self {
      Self::Broken { .. } => "broken",
      Self::Malformed { .. } => "garbage",
      Self::Protocol { .. } => "protocol",
      Self::Untrusted => "untrusted",
    }
  }
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Broken { reason } => write!(f, "the link broke: {reason}"),
      Self::Malformed { reason } => write!(f, "the link carried a malformed message: {reason}"),
      Self::Protocol { found } => write!(
        f,
        "the peer speaks version {found} of the protocol and this daemon {PROTOCOL}: run the same \
         release on both"
      ),
      Self::Untrusted => {
        write!(f, "the peer did not prove the fleet key: give both the same fleet_key")
      }
    }
  }
}

impl StdError for Error {}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
  fn from(err: tokio_tungstenite::tungstenite::Error) -> Self {
    Self::Broken { reason: err.to_string() }
  }
}

impl From<io::Error> for Error {
  fn from(err: io::Error) -> Self {
    Self::Broken { reason: err.to_string() }
  }
}
