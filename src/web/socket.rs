use super::*;

use {
  monoio::net::tcp::stream_poll::TcpStreamPoll,
  tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// A TCP connection with what was read and not used yet, and what is to be written.
pub(super) struct Socket {
  /// Bytes that came and are not used yet.
  pub(super) inbound: BytesMut,
  /// Bytes to write.
  pub(super) outbound: BytesMut,
  stream: TcpStreamPoll,
}

/// What reading came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Read {
  /// Bytes came.
  Data,
  /// The peer ended its side in order.
  End,
}

impl Socket {
  /// Bytes read at once.
  const PIECE_BYTES: usize = 16_384;

  /// Takes over a connection.
  pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
    let stream = stream.try_into_poll_io().map_err(|(err, _)| err)?;
    Ok(Self { inbound: BytesMut::new(), outbound: BytesMut::new(), stream })
  }

  /// Reads what is there.
  pub(super) fn poll_read(&mut self, context: &mut Context) -> Poll<io::Result<Read>> {
    let mut piece = [0; Self::PIECE_BYTES];
    let mut buffer = ReadBuf::new(&mut piece);
    match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
      Poll::Pending => Poll::Pending,
      Poll::Ready(Err(err)) => Poll::Ready(Err(err)),
      Poll::Ready(Ok(())) if buffer.filled().is_empty() => Poll::Ready(Ok(Read::End)),
      Poll::Ready(Ok(())) => {
        self.inbound.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(Read::Data))
      }
    }
  }

  /// Writes what waits. Ready once all of it is written.
  pub(super) fn poll_write(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
    while !self.outbound.is_empty() {
      match Pin::new(&mut self.stream).poll_write(context, &self.outbound) {
        Poll::Pending => return Poll::Pending,
        Poll::Ready(Err(err)) => return Poll::Ready(Err(err)),
        Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
        Poll::Ready(Ok(count)) => self.outbound.advance(count),
      }
    }
    Poll::Ready(Ok(()))
  }

  /// Ends the own side in order.
  pub(super) fn poll_shutdown(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_shutdown(context)
  }

  /// Gives up the memory of empty buffers, for a connection that rests.
  pub(super) fn shrink(&mut self) {
    if self.inbound.is_empty() {
      self.inbound = BytesMut::new();
    }
    if self.outbound.is_empty() {
      self.outbound = BytesMut::new();
    }
  }
}
