use super::*;

use std::{
  os::fd::{AsFd, BorrowedFd},
  sync::{Mutex, PoisonError},
};

/// Gathers lines of the log and writes them to standard output together, without ever waiting for
/// whoever reads it. What finds no room is dropped and counted.
#[derive(Clone, Default)]
pub struct Outlet {
  gathered: Arc<Mutex<Gathered>>,
}

#[derive(Default)]
struct Gathered {
  bytes: VecDeque<u8>,
  dropped: u64,
}

impl Outlet {
  /// Bytes gathered at most, a few seconds' worth of a busy daemon.
  pub const BYTES_MAX: usize = 256 << 10;
  /// Milliseconds between two writes.
  pub const FLUSH_MS: u64 = 200;
  /// Bytes that a pipe takes at once, or not at all: POSIX's least value of `PIPE_BUF` is 512, and
  /// Linux has 4096.
  const PIECE_BYTES: usize = 4_096;

  /// Takes one line, where there is room.
  pub fn take(&self, line: &[u8]) {
    let mut gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
    if gathered.bytes.len() + line.len() > Self::BYTES_MAX {
      gathered.dropped += 1;
      return;
    }
    gathered.bytes.extend(line);
  }

  /// Writes what `output` takes at once. A reader that stalls holds up nothing.
  pub fn flush_to(&self, output: BorrowedFd) {
    let mut gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
    while !gathered.bytes.is_empty() && takes_bytes(output) {
      let length = gathered.bytes.len().min(Self::PIECE_BYTES);
      let (front, _) = gathered.bytes.as_slices();
      let length = length.min(front.len());
      match rustix::io::write(output, &front[..length]) {
        Ok(count) => drop(gathered.bytes.drain(..count)),
        Err(_) => return,
      }
    }
    if gathered.bytes.is_empty() && gathered.dropped > 0 {
      let dropped = std::mem::take(&mut gathered.dropped);
      let line = serde_json::json!({
        "level": "WARN", "msg": "lines of the log were dropped, for nobody read them in time",
        "lines": dropped
      });
      gathered.bytes.extend(format!("{line}\n").as_bytes());
    }
    if gathered.bytes.is_empty() {
      gathered.bytes.shrink_to(Self::PIECE_BYTES);
    }
  }

  /// Writes what standard output takes at once.
  pub fn flush(&self) {
    self.flush_to(io::stdout().as_fd());
  }
}

/// Whether a write of a piece would not wait.
fn takes_bytes(output: BorrowedFd) -> bool {
  let mut polled = [rustix::event::PollFd::from_borrowed_fd(output, rustix::event::PollFlags::OUT)];
  let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
  let ready = rustix::event::poll(&mut polled, Some(&now));
  matches!(ready, Ok(count) if count > 0)
    && polled[0].revents().contains(rustix::event::PollFlags::OUT)
}

impl io::Write for Outlet {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.take(bytes);
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}
