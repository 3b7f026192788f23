use super::*;

/// The error of a command.
#[derive(Debug)]
pub enum Error {
  /// The daemon failed to start.
  Daemon(daemon::Error),
  /// A check of `dev` failed.
  Dev(dev::Error),
  /// A file or standard input cannot be read.
  Input(io::Error),
  /// The call of the administration API failed.
  Query {
    /// The address of the API.
    address: SocketAddr,
    /// The cause.
    reason: String,
  },
  /// The statement did not succeed; its answer is printed already.
  Refused,
  /// The settings are invalid.
  Settings(settings::Error),
  /// The command exceeded its timeout.
  Timeout,
}

impl Error {
  /// Returns the exit code of the process.
  pub fn exit_code(&self) -> u8 {
    if matches!(self, Self::Settings(_)) { USAGE } else { FAILED }
  }
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Daemon(err) => err.fmt(f),
      Self::Dev(err) => err.fmt(f),
      Self::Input(err) => write!(f, "cannot read the input: {err}"),
      Self::Query { address, reason } => write!(
        f,
        "cannot ask the daemon at {address} ({reason}): check the address given with --admin"
      ),
      Self::Refused => write!(f, "the statement did not succeed"),
      Self::Settings(err) => err.fmt(f),
      Self::Timeout => write!(f, "the time is up: raise --timeout-ms, or ask again later"),
    }
  }
}

impl StdError for Error {}

impl From<daemon::Error> for Error {
  fn from(err: daemon::Error) -> Self {
    Self::Daemon(err)
  }
}

impl From<settings::Error> for Error {
  fn from(err: settings::Error) -> Self {
    Self::Settings(err)
  }
}
