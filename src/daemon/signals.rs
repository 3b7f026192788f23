//! Signals that ask the process to stop.

use super::*;

/// A socket on which a byte arrives with each SIGINT or SIGTERM.
pub struct Signals(std::os::unix::net::UnixStream);

impl Signals {
  /// Takes the signals over from now on.
  pub fn take() -> io::Result<Self> {
    let (read, write) = std::os::unix::net::UnixStream::pair()?;
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
      signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
    }
    read.set_nonblocking(true)?;
    Ok(Self(read))
  }

  /// Waits for the next signal.
  pub async fn next(&self) -> io::Result<()> {
    let stream = monoio::net::UnixStream::from_std(self.0.try_clone()?)?;
    stream.readable(false).await?;
    let mut byte = [0];
    (&self.0).read(&mut byte).map(drop)
  }
}
