use super::*;

/// Why a measurement failed.
#[derive(Debug)]
pub enum Error {
  /// A daemon cannot be asked.
  Ask(ferryyoke::commands::Error),
  /// A file or process cannot be used.
  Io(io::Error),
  /// Something did not come about in time, or came out wrong.
  Unexpected(String),
  /// A request failed.
  Web(web::Error),
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Ask(err) => err.fmt(f),
      Self::Io(err) => write!(f, "a file or process cannot be used: {err}"),
      Self::Unexpected(what) => write!(f, "the measurement failed: {what}"),
      Self::Web(err) => err.fmt(f),
    }
  }
}

impl StdError for Error {}

impl From<ferryyoke::commands::Error> for Error {
  fn from(err: ferryyoke::commands::Error) -> Self {
    Self::Ask(err)
  }
}

impl From<io::Error> for Error {
  fn from(err: io::Error) -> Self {
    Self::Io(err)
  }
}

impl From<web::Error> for Error {
  fn from(err: web::Error) -> Self {
    Self::Web(err)
  }
}
