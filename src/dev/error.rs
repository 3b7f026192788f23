use super::*;

/// Why the deployment or its tour failed.
#[derive(Debug)]
pub enum Error {
  /// An operation of the operating system failed.
  Io(io::Error),
  /// The settings of a box of the deployment have faults.
  Settings(settings::Error),
  /// A step of the tour had an unexpected result.
  Step(String),
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Io(err) => write!(f, "the deployment cannot start: {err}"),
      Self::Settings(err) => err.fmt(f),
      Self::Step(what) => write!(f, "a step of the tour failed: {what}"),
    }
  }
}

impl StdError for Error {}

impl From<io::Error> for Error {
  fn from(err: io::Error) -> Self {
    Self::Io(err)
  }
}

impl From<settings::Error> for Error {
  fn from(err: settings::Error) -> Self {
    Self::Settings(err)
  }
}

impl From<commands::Error> for Error {
  fn from(err: commands::Error) -> Self {
    Self::Step(err.to_string())
  }
}

impl From<web::Error> for Error {
  fn from(err: web::Error) -> Self {
    Self::Step(err.to_string())
  }
}
