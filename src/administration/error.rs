use super::*;

/// Why a statement is refused. Nothing was changed.
#[derive(Debug)]
pub enum Error {
  /// The call itself is malformed.
  Call {
    /// Why.
    reason: String,
  },
  /// Too many statements at once.
  Busy,
  /// The change does not hold.
  Change(crate::distribution::RefusalReason),
  /// The statement is not understood or not allowed.
  Language(language::Error),
  /// This box holds no configuration yet.
  NoConfiguration,
  /// The store could not be asked.
  Store(store::Error),
  /// No valid token came with the call.
  Unauthorized,
  /// What was asked about is not known.
  Unknown {
    /// What is not known, and why.
    what: String,
  },
}

impl Error {
  /// The status that goes with it.
  pub fn status(&self) -> StatusCode {
    match self {
      Self::Busy => StatusCode::TOO_MANY_REQUESTS,
      Self::Call { .. } => StatusCode::BAD_REQUEST,
      Self::Change(_) => StatusCode::CONFLICT,
      Self::Language(language::Error::Forbidden { .. } | language::Error::NotOwned { .. }) => {
        StatusCode::FORBIDDEN
      }
      Self::Language(_) => StatusCode::UNPROCESSABLE_ENTITY,
      Self::NoConfiguration | Self::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
      Self::Unauthorized => StatusCode::UNAUTHORIZED,
      Self::Unknown { .. } => StatusCode::NOT_FOUND,
    }
  }
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Busy => write!(f, "this daemon has many statements at work: try again in a second"),
      Self::Call { reason } => write!(f, "the call is malformed: {reason}"),
      Self::Change(refused) => refused.fmt(f),
      Self::Language(err) => err.fmt(f),
      Self::NoConfiguration => {
        write!(f, "this box holds no configuration yet: ask another box, or try again in a second")
      }
      Self::Store(err) => err.fmt(f),
      Self::Unauthorized => {
        write!(f, "no valid token: give one in FERRYYOKE_TOKEN or with --token-file")
      }
      Self::Unknown { what } => f.write_str(what),
    }
  }
}

impl StdError for Error {}

impl From<language::Error> for Error {
  fn from(err: language::Error) -> Self {
    Self::Language(err)
  }
}

impl From<store::Error> for Error {
  fn from(err: store::Error) -> Self {
    Self::Store(err)
  }
}
