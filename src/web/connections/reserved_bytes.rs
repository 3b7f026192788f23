use super::*;

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that count as held until it is dropped.
pub struct ReservedBytes {
  bytes: usize,
  held_bytes: Arc<AtomicUsize>,
}

impl ReservedBytes {
  pub(super) fn new(bytes: usize, held_bytes: Arc<AtomicUsize>) -> Self {
    held_bytes.fetch_add(bytes, Ordering::Relaxed);
    Self { bytes, held_bytes }
  }
}

impl Drop for ReservedBytes {
  fn drop(&mut self) {
    self.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
  }
}
