use super::*;

use {
  monoio::net::tcp::stream_poll::TcpStreamPoll,
  tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// A TCP connection that rests after a number of reads in a row, so that a peer which sends without end does not hold
/// the event loop.
///
/// Writes are not bounded: what is written comes from memory, or from another connection that rests.
///
/// A reset is never read as the end that the peer sent. The kernel reports it once: if a write takes the error, reads
/// return what arrived before and then an end, as if the peer had closed its side.
pub struct FairStream {
  inner: TcpStreamPoll,
  reads: Turns,
  /// The error that a write took in place of the reads. Invariant: no broken pipe, which says that the peer had closed its
  /// side before the connection broke.
  write_error: Option<io::ErrorKind>,
}

impl FairStream {
  /// Reads in a row before a rest: 256 KB in reads of 16 KB, twice what a link of 1 Gbit/s brings during a rest.
  const READS_MAX: u32 = 16;

  /// Wraps a connection.
  pub fn new(stream: TcpStream) -> io::Result<Self> {
    let inner = stream.try_into_poll_io().map_err(|(err, _)| err)?;
    Ok(Self { inner, reads: Turns::new(Self::READS_MAX), write_error: None })
  }

  /// Reads available bytes also during a rest. For a single look, not for a loop.
  pub fn poll_read_now(
    &mut self,
    context: &mut Context,
    buffer: &mut ReadBuf,
  ) -> Poll<io::Result<()>> {
    let filled_before = buffer.filled().len();
    let read = Pin::new(&mut self.inner).poll_read(context, buffer);
    match (&read, self.write_error) {
      (Poll::Ready(Ok(())), Some(kind)) if buffer.filled().len() == filled_before => {
        Poll::Ready(Err(kind.into()))
      }
      _ => read,
    }
  }
}

impl AsyncRead for FairStream {
  fn poll_read(
    mut self: Pin<&mut Self>,
    context: &mut Context,
    buffer: &mut ReadBuf,
  ) -> Poll<io::Result<()>> {
    if self.reads.poll_step(context).is_pending() {
      return Poll::Pending;
    }
    let read = self.poll_read_now(context, buffer);
    match &read {
      Poll::Ready(_) => self.reads.count_step(),
      Poll::Pending => self.reads.end(),
    }
    read
  }
}

impl AsyncWrite for FairStream {
  fn poll_write(
    mut self: Pin<&mut Self>,
    context: &mut Context,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    let written = Pin::new(&mut self.inner).poll_write(context, bytes);
    if let Poll::Ready(Err(err)) = &written
      && err.kind() != io::ErrorKind::BrokenPipe
    {
      self.write_error.get_or_insert(err.kind());
    }
    written
  }

  fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
    Pin::new(&mut self.inner).poll_flush(context)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
    Pin::new(&mut self.inner).poll_shutdown(context)
  }
}
