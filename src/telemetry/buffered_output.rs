use super::*;

use std::{
  os::fd::{AsFd, BorrowedFd},
  sync::{Mutex, PoisonError},
};

/// Buffers log lines and writes them to standard output in batches, without ever waiting for its
/// reader. Lines that do not fit into the buffer are dropped and counted.
#[derive(Clone, Default)]
pub struct BufferedOutput {
  buffer: Arc<Mutex<Buffer>>,
}

#[derive(Default)]
struct Buffer {
  bytes: VecDeque<u8>,
  /// Lines dropped since the last time that the buffer was empty.
  dropped: u64,
}

impl BufferedOutput {
  /// Largest number of buffered bytes: a few seconds of a busy daemon's lines.
  pub const BYTES_MAX: usize = 256 << 10;
  /// Milliseconds between two flushes.
  pub const FLUSH_MS: u64 = 200;
  /// Bytes that a pipe takes atomically (`PIPE_BUF`): 4096 on Linux, at least 512 by POSIX.
  const PIECE_BYTES: usize = 4_096;

  /// Adds a line, or drops and counts it if the buffer is full.
  pub fn push_line(&self, line: &[u8]) {
    let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
    if buffer.bytes.len() + line.len() > Self::BYTES_MAX {
      buffer.dropped += 1;
      return;
    }
    buffer.bytes.extend(line);
  }

  /// Writes what `output` accepts without waiting, so that a stalled reader does not block the daemon.
  pub fn flush_to(&self, output: BorrowedFd) {
    let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
    while !buffer.bytes.is_empty() && is_writable(output) {
      let length = buffer.bytes.len().min(Self::PIECE_BYTES);
      let (front, _) = buffer.bytes.as_slices();
      let length = length.min(front.len());
      match rustix::io::write(output, &front[..length]) {
        Ok(count) => drop(buffer.bytes.drain(..count)),
        Err(_) => return,
      }
    }
    if buffer.bytes.is_empty() && buffer.dropped > 0 {
      let dropped = std::mem::take(&mut buffer.dropped);
      let line = serde_json::json!({
        "level": "WARN", "msg": "log lines were dropped, as the output was not read in time",
        "lines": dropped
      });
      buffer.bytes.extend(format!("{line}\n").as_bytes());
    }
    if buffer.bytes.is_empty() {
      buffer.bytes.shrink_to(Self::PIECE_BYTES);
    }
  }

  /// Writes what standard output accepts without waiting.
  pub fn flush(&self) {
    self.flush_to(io::stdout().as_fd());
  }
}

/// Returns whether a write of up to [`BufferedOutput::PIECE_BYTES`] would not block.
fn is_writable(output: BorrowedFd) -> bool {
  let mut polled = [rustix::event::PollFd::from_borrowed_fd(output, rustix::event::PollFlags::OUT)];
  let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
  let ready = rustix::event::poll(&mut polled, Some(&now));
  matches!(ready, Ok(count) if count > 0)
    && polled[0].revents().contains(rustix::event::PollFlags::OUT)
}

impl io::Write for BufferedOutput {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.push_line(bytes);
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}
