use super::*;

use {
  crate::net::FairStream,
  tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// A TCP connection with a read buffer and a write buffer.
pub(super) struct Socket {
  /// Bytes that were read and not consumed.
  pub(super) inbound: BytesMut,
  /// The largest capacity of `inbound` since it was last empty. Consuming bytes reduces the capacity, not the memory.
  inbound_capacity: usize,
  /// Bytes that are not written yet.
  pub(super) outbound: BytesMut,
  /// The largest capacity of `outbound` since it was last empty.
  outbound_capacity: usize,
  stream: FairStream,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Read {
  /// Bytes were added to the read buffer.
  Data,
  /// The peer closed its side.
  End,
}

impl Socket {
  /// Most bytes of one read.
  const PIECE_BYTES: usize = 16_384;

  /// Wraps a connection.
  pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
    let stream = FairStream::new(stream)?;
    Ok(Self {
      inbound: BytesMut::new(),
      inbound_capacity: 0,
      outbound: BytesMut::new(),
      outbound_capacity: 0,
      stream,
    })
  }

  /// Bytes of memory that the buffers take.
  pub(super) fn held_bytes(&mut self) -> usize {
    self.inbound_capacity = self.inbound_capacity.max(self.inbound.capacity());
    self.outbound_capacity = self.outbound_capacity.max(self.outbound.capacity());
    self.inbound_capacity + self.outbound_capacity
  }

  /// Whether the peer has neither sent anything nor closed its side.
  pub(super) fn is_silent(&mut self) -> bool {
    let mut context = Context::from_waker(std::task::Waker::noop());
    let mut byte = [0];
    let read = self.stream.poll_read_now(&mut context, &mut ReadBuf::new(&mut byte));
    self.inbound.is_empty() && read.is_pending()
  }

  /// Reads available bytes. Rests after a number of reads in a row.
  pub(super) fn poll_read(&mut self, context: &mut Context) -> Poll<io::Result<Read>> {
    self.poll_read_at_most(context, Self::PIECE_BYTES)
  }

  /// Like [`Self::poll_read`], but reads at most `bytes_max` bytes, at least 1.
  pub(super) fn poll_read_at_most(
    &mut self,
    context: &mut Context,
    bytes_max: usize,
  ) -> Poll<io::Result<Read>> {
    let mut piece = [0; Self::PIECE_BYTES];
    let mut buffer = ReadBuf::new(&mut piece[..bytes_max.clamp(1, Self::PIECE_BYTES)]);
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

  /// Writes the write buffer. Ready once all of it is written.
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

  /// Closes the own side.
  pub(super) fn poll_shutdown(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_shutdown(context)
  }

  /// Frees the memory of empty buffers.
  pub(super) fn shrink(&mut self) {
    if self.inbound.is_empty() {
      (self.inbound, self.inbound_capacity) = (BytesMut::new(), 0);
    }
    if self.outbound.is_empty() {
      (self.outbound, self.outbound_capacity) = (BytesMut::new(), 0);
    }
  }
}
