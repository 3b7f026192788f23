use super::*;

/// Why a daemon cannot run.
#[derive(Debug)]
pub enum Error {
  /// An address cannot be listened on.
  Listen {
    /// The address.
    address: SocketAddr,
    /// The key of the address in the settings.
    key: &'static str,
    /// The cause.
    source: io::Error,
  },
  /// The operating system refuses resources that the event loop needs.
  Runtime(io::Error),
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Listen { address, key, source } => write!(
        f,
        "cannot listen on {address}, which the settings name in $.addresses.{key} ({source}): stop \
         the process that uses the port, or set another address"
      ),
      Self::Runtime(err) => write!(f, "the event loop cannot start: {err}"),
    }
  }
}

impl StdError for Error {}
