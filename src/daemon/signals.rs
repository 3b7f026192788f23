//! Signals to the process: reload and stop.

use super::*;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Registered signal handlers. Each signal writes a byte to a socket.
pub struct Signals {
  reload: std::os::unix::net::UnixStream,
  stop: std::os::unix::net::UnixStream,
}

/// What a signal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request {
  /// Read the settings again (SIGHUP).
  Reload,
  /// Perform a planned stop (SIGINT, SIGTERM).
  Stop,
}

impl Signals {
  /// Registers handlers of SIGHUP, SIGINT and SIGTERM.
  ///
  /// # Errors
  /// Returns the system's error if the sockets or handlers cannot be set up.
  pub fn register() -> io::Result<Self> {
    Ok(Self { reload: socket_for(&[SIGHUP])?, stop: socket_for(&[SIGINT, SIGTERM])? })
  }

  /// Waits for the next signal.
  pub async fn next(&self) -> io::Result<Request> {
    let reload = Box::pin(next_byte(&self.reload));
    let stop = Box::pin(next_byte(&self.stop));
    match futures_util::future::select(stop, reload).await {
      futures_util::future::Either::Left((stopped, _)) => stopped.map(|()| Request::Stop),
      futures_util::future::Either::Right((reloaded, _)) => reloaded.map(|()| Request::Reload),
    }
  }
}

fn socket_for(signals: &[i32]) -> io::Result<std::os::unix::net::UnixStream> {
  let (read, write) = std::os::unix::net::UnixStream::pair()?;
  for signal in signals {
    signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
  }
  read.set_nonblocking(true)?;
  Ok(read)
}

async fn next_byte(socket: &std::os::unix::net::UnixStream) -> io::Result<()> {
  let stream = monoio::net::UnixStream::from_std(socket.try_clone()?)?;
  stream.readable(false).await?;
  let mut byte = [0];
  let mut reader = socket;
  reader.read(&mut byte).map(drop)
}
