use super::*;

/// Why a benchmark or a run of a test fleet failed.
#[derive(Debug)]
pub enum Error {
  /// A statement could not be sent to a daemon.
  Ask(ferryyoke::commands::Error),
  /// A file, socket or process operation failed.
  Io(io::Error),
  /// A wait timed out, or a result was not as expected.
  Unexpected(String),
  /// An HTTP request failed.
  Web(web::Error),
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Ask(err) => err.fmt(f),
      Self::Io(err) => write!(f, "a file, socket or process operation failed: {err}"),
      Self::Unexpected(what) => write!(f, "the run failed: {what}"),
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
