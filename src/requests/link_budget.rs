use super::*;

/// Bounds the bodies that a box takes over its network link, so that a few large ones do not hold up
/// everything else that the link carries.
///
/// The link is seen as a queue that empties at its own speed: a body is taken where it would be in
/// soon enough.
#[derive(Clone, Debug)]
pub struct LinkBudget {
  queue: LinkQueue,
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
    Self { queue: LinkQueue::new(link_mbps, Self::BODY_PART), typical_bytes: 65_536.0 }
  }

  /// Takes a body, of `bytes` where that is known, or tells after how many milliseconds to come back.
  pub fn take(&mut self, now: Time, bytes: Option<u64>, patience_ms: u64) -> Result<(), u64> {
    if bytes.is_some_and(|bytes| bytes <= Self::SMALL_BYTES) {
      return Ok(());
    }
    #[allow(clippy::cast_precision_loss)]
    let patience_ms = patience_ms as f64;
    let waits_ms = self.queue.waits_ms(now);
    if waits_ms > patience_ms.min(Self::QUEUE_MAX_MS) {
      #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
      return Err(waits_ms.ceil() as u64);
    }
    #[allow(clippy::cast_precision_loss)]
    let size = bytes.map_or(self.typical_bytes, |bytes| bytes as f64);
    self.typical_bytes += Self::TYPICAL_WEIGHT * (size - self.typical_bytes);
    self.queue.put(now, size);
    Ok(())
  }

  /// How full the queue is, in percent.
  pub fn load_percent(&self, now: Time) -> u32 {
    self.queue.percent_of(now, Self::QUEUE_MAX_MS)
  }
}
