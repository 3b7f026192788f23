use super::*;

/// Why a daemon cannot run.
#[derive(Debug)]
pub enum Error {
  /// An address cannot be listened on.
  Listen {
    /// The address.
    address: SocketAddr,
    /// The key of the settings that names it.
    key: &'static str,
    /// What went wrong.
    source: io::Error,
  },
  /// The machine does not give what the loop needs.
  Runtime(io::Error),
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Listen { address, key, source } => write!(
        f,
        "cannot listen on {address}, which the settings name in $.addresses.{key} ({source}): stop \
         what has the port, or name another one"
      ),
      Self::Runtime(err) => write!(f, "the event loop cannot start: {err}"),
    }
  }
}

impl StdError for Error {}
