use super::*;

/// Bounds the bodies that a box takes over its network link, so that a few large ones do not hold up
/// everything else that the link carries.
///
/// The link is seen as a queue that empties at its own speed: a body is taken where it would be in
/// soon enough.
#[derive(Clone, Debug)]
pub struct LinkBudget {
  bytes_per_ms: f64,
  /// When everything that was taken will be in.
  free_at_ms: f64,
  /// A moving average of the size of large bodies, for those that do not tell theirs.
  typical_bytes: f64,
}

impl LinkBudget {
  /// The part of the link that bodies may fill. The rest is for answers, calls and control.
  const BODY_PART: f64 = 0.8;
  /// Milliseconds of the queue above which no further body is taken, though its caller would wait.
  const QUEUE_MAX_MS: f64 = 250.0;
  /// Bodies up to this size are always taken: the queue is about large ones.
  pub const SMALL_BYTES: u64 = 4_096;
  /// Weight of the newest body in the average.
  const TYPICAL_WEIGHT: f64 = 0.1;

  /// The budget of a link of so many megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    let bytes_per_ms = link_mbps * 125.0 * Self::BODY_PART;
    Self { bytes_per_ms, free_at_ms: 0.0, typical_bytes: 65_536.0 }
  }

  /// Takes a body, of `bytes` where that is known, or tells after how many milliseconds to come back.
  pub fn take(&mut self, now: Time, bytes: Option<u64>, patience_ms: u64) -> Result<(), u64> {
    if bytes.is_some_and(|bytes| bytes <= Self::SMALL_BYTES) {
      return Ok(());
    }
    #[allow(clippy::cast_precision_loss)]
    let (now_ms, patience_ms) = (now.0 as f64, patience_ms as f64);
    let waits_ms = (self.free_at_ms - now_ms).max(0.0);
    if waits_ms > patience_ms.min(Self::QUEUE_MAX_MS) {
      #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
      return Err(waits_ms.ceil() as u64);
    }
    #[allow(clippy::cast_precision_loss)]
    let size = bytes.map_or(self.typical_bytes, |bytes| bytes as f64);
    self.typical_bytes += Self::TYPICAL_WEIGHT * (size - self.typical_bytes);
    self.free_at_ms = now_ms + waits_ms + size / self.bytes_per_ms;
    Ok(())
  }

  /// How full the queue is, in percent.
  pub fn load_percent(&self, now: Time) -> u32 {
    #[allow(clippy::cast_precision_loss)]
    let waits_ms = (self.free_at_ms - now.0 as f64).max(0.0);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let percent = (waits_ms * 100.0 / Self::QUEUE_MAX_MS) as u32;
    percent
  }
}
