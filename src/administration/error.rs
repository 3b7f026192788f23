use super::*;

/// The error of a statement that was refused; it changed nothing.
#[derive(Debug)]
pub enum Error {
  /// Too many statements run at once.
  Busy,
  /// The change was refused, for example because of a conflict.
  ChangeRefused(crate::distribution::RefusalReason),
  /// The HTTP request is malformed.
  MalformedRequest {
    /// What is malformed.
    reason: String,
  },
  /// This box holds no configuration yet.
  NoConfiguration,
  /// The subject of the statement is unknown or cannot be used.
  NotFound {
    /// The subject, and the reason.
    what: String,
  },
  /// The script is invalid or not allowed.
  Script(language::Error),
  /// The call of the store failed.
  Store(store::Error),
  /// The request has no valid token.
  Unauthorized,
}

impl Error {
  /// Returns the HTTP status of the error.
  pub fn status(&self) -> StatusCode {
    match self {
      Self::Busy => StatusCode::TOO_MANY_REQUESTS,
      Self::MalformedRequest { .. } => StatusCode::BAD_REQUEST,
      Self::ChangeRefused(_) => StatusCode::CONFLICT,
      Self::Script(language::Error::Forbidden { .. } | language::Error::NotOwned { .. }) => {
        StatusCode::FORBIDDEN
      }
      Self::Script(_) => StatusCode::UNPROCESSABLE_ENTITY,
      Self::NoConfiguration | Self::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
      Self::Unauthorized => StatusCode::UNAUTHORIZED,
      Self::NotFound { .. } => StatusCode::NOT_FOUND,
    }
  }
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Busy => write!(f, "this daemon has many statements at work: try again in a second"),
      Self::MalformedRequest { reason } => write!(f, "the call is malformed: {reason}"),
      Self::ChangeRefused(refused) => refused.fmt(f),
      Self::Script(err) => err.fmt(f),
      Self::NoConfiguration => {
        write!(f, "this box holds no configuration yet: ask another box, or try again in a second")
      }
      Self::Store(err) => err.fmt(f),
      Self::Unauthorized => {
        write!(f, "no valid token: give one in FERRYYOKE_TOKEN or with --token-file")
      }
      Self::NotFound { what } => f.write_str(what),
    }
  }
}

impl StdError for Error {}

impl From<language::Error> for Error {
  fn from(err: language::Error) -> Self {
    Self::Script(err)
  }
}

impl From<store::Error> for Error {
  fn from(err: store::Error) -> Self {
    Self::Store(err)
  }
}
