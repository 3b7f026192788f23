use super::*;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
  /// The daemon cannot run.
  Daemon(daemon::Error),
  /// The tour found something wrong.
  Dev(dev::Error),
  /// A file, or standard input, cannot be read.
  Input(io::Error),
  /// The administration API cannot be asked.
  Query {
    /// The address.
    address: SocketAddr,
    /// What went wrong.
    reason: String,
  },
  /// The statement did not succeed; its answer was printed.
  Refused,
  /// The settings are wrong.
  Settings(settings::Error),
  /// The time is up.
  TimeUp,
}

impl Error {
  /// The exit code that goes with it.
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
      Self::TimeUp => write!(f, "the time is up: raise --timeout-ms, or ask again later"),
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
