use super::*;

/// The error of a statement that was refused; it changed nothing.
#[derive(Debug)]
pub enum Error {
  /// The HTTP request is malformed.
  Call {
    /// What is malformed.
    reason: String,
  },
  /// Too many statements run at once.
  Busy,
  /// The change was refused, for example because of a conflict.
  Change(crate::distribution::RefusalReason),
  /// The script is invalid or not allowed.
  Language(language::Error),
  /// This box holds no configuration yet.
  NoConfiguration,
  /// The call of the store failed.
  Store(store::Error),
  /// The request has no valid token.
  Unauthorized,
  /// The subject of the statement is unknown.
  Unknown {
    /// What is unknown, and why.
    what: String,
  },
}

impl Error {
  /// Returns the HTTP status of the error.
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
