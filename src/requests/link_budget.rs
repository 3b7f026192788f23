use super::*;

/// Bounds the bodies that a box takes over its network link, so that a few large ones do not hold up
/// everything else that the link carries.
///
/// The link is seen as a queue that empties at its own speed: a body is taken where it would be in
/// soon enough. What else the link carries is counted as it comes: it cannot be put off, so bodies get what it leaves.
#[derive(Clone, Debug)]
pub struct LinkBudget {
  /// The bodies alone, which may fill a part of the link.
  bodies: LinkQueue,
  /// A moving average of the size of large bodies, for those that do not tell theirs.
  typical_bytes: f64,
  /// All that comes.
  whole: LinkQueue,
}

impl LinkBudget {
  /// The part of the link that bodies may fill, however little else comes.
  const BODY_PART: f64 = 0.8;
  /// Milliseconds of the queue above which no further body is taken, though its caller would wait.
  const QUEUE_MAX_MS: f64 = 250.0;
  /// Bodies up to this size are always taken: the queue is about large ones.
  pub const SMALL_BYTES: u64 = 4_096;
  /// The part of the link that all together may fill. The rest is for the heads of packets, and for control.
  const WHOLE_PART: f64 = 0.95;
  /// Bodies above this size take part of a narrow link's second, so that it matters whether they cross one.
  pub const LARGE_BYTES: u64 = 16_384;
  /// Weight of the newest body in the average.
  const TYPICAL_WEIGHT: f64 = 0.1;

  /// The budget of a link of so many megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    Self {
      bodies: LinkQueue::new(link_mbps, Self::BODY_PART),
      typical_bytes: 65_536.0,
      whole: LinkQueue::new(link_mbps, Self::WHOLE_PART),
    }
  }

  /// Takes a body, of `bytes` where that is known, or tells after how many milliseconds to come back.
  /// `backlog_ms` is what the link needs for the bodies that are not in yet: more than reckoned, where others fill it.
  pub fn take(
    &mut self,
    now: Time,
    bytes: Option<u64>,
    patience_ms: u64,
    backlog_ms: f64,
  ) -> Result<(), u64> {
    if bytes.is_some_and(|bytes| bytes <= Self::SMALL_BYTES) {
      return Ok(());
    }
    #[allow(clippy::cast_precision_loss)]
    let patience_ms = patience_ms as f64;
    let waits_ms = self.waits_ms(now).max(backlog_ms);
    if waits_ms > patience_ms.min(Self::QUEUE_MAX_MS) {
      #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
      return Err(waits_ms.ceil() as u64);
    }
    #[allow(clippy::cast_precision_loss)]
    let size = bytes.map_or(self.typical_bytes, |bytes| bytes as f64);
    self.typical_bytes += Self::TYPICAL_WEIGHT * (size - self.typical_bytes);
    self.bodies.put(now, size);
    self.whole.put(now, size);
    Ok(())
  }

  /// Bytes come that are no large body: heads, small bodies, answers.
  pub fn note(&mut self, now: Time, bytes: u64) {
    #[allow(clippy::cast_precision_loss)]
    self.whole.put(now, bytes as f64);
  }

  fn waits_ms(&self, now: Time) -> f64 {
    self.bodies.waits_ms(now).max(self.whole.waits_ms(now))
  }

  /// How full the queue is, in percent.
  pub fn load_percent(&self, now: Time) -> u32 {
    let percent = |queue: &LinkQueue| queue.percent_of(now, Self::QUEUE_MAX_MS);
    percent(&self.bodies).max(percent(&self.whole))
  }
}
