use super::*;

/// Limits the request bodies that a box accepts over its network link, so that a few large ones
/// don't delay all other traffic.
///
/// The link is modelled as a queue that drains at the link's rate: a body is accepted if the queue
/// in front of it is short enough. Other traffic can't be delayed, so it is counted as it comes and
/// bodies get the rest.
#[derive(Clone, Debug)]
pub struct LinkBudget {
  /// Large bodies alone, limited to a fraction of the link.
  bodies: LinkQueue,
  /// All incoming traffic.
  total: LinkQueue,
  /// Moving average of the size of large bodies, used for those of unknown size.
  typical_bytes: f64,
}

impl LinkBudget {
  /// The fraction of the link that bodies may fill, even without other traffic.
  const BODY_FRACTION: f64 = 0.8;
  /// Queue length in milliseconds above which bodies are refused, even if their callers would wait.
  const QUEUE_MAX_MS: f64 = 250.0;
  /// Longest wait in milliseconds of a body of up to `LARGE_BYTES` that another box could take as
  /// well: about what it costs to ask that box.
  const OPTIONAL_WAIT_MS: u64 = 20;
  /// Bodies of up to this many bytes are always accepted.
  pub const SMALL_BYTES: u64 = 4_096;
  /// The fraction of the link that all traffic may fill. The rest is for packet headers and control
  /// traffic.
  const TOTAL_FRACTION: f64 = 0.95;
  /// Bodies above this many bytes take a noticeable part of a second on a narrow link, so the
  /// choice of a box considers whether they cross one.
  pub const LARGE_BYTES: u64 = 16_384;
  /// Weight of the newest body in `typical_bytes`.
  const TYPICAL_WEIGHT: f64 = 0.1;

  /// Creates the budget of a link of `link_mbps` megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    Self {
      bodies: LinkQueue::new(link_mbps, Self::BODY_FRACTION),
      total: LinkQueue::new(link_mbps, Self::TOTAL_FRACTION),
      typical_bytes: 65_536.0,
    }
  }

  /// Accepts a body of `bytes`, `None` if unknown. `backlog_ms` is the time that the link needs for
  /// the accepted bodies that are still incomplete; it exceeds the modelled queue if other traffic
  /// fills the link. On refusal, the error is the number of milliseconds after which to retry.
  pub fn take(
    &mut self,
    now: Time,
    bytes: Option<u64>,
    max_wait_ms: u64,
    backlog_ms: f64,
  ) -> Result<(), u64> {
    if bytes.is_some_and(|bytes| bytes <= Self::SMALL_BYTES) {
      return Ok(());
    }
    #[allow(clippy::cast_precision_loss)]
    let max_wait_ms = max_wait_ms as f64;
    let delay_ms = self.delay_ms(now).max(backlog_ms);
    if delay_ms > max_wait_ms.min(Self::QUEUE_MAX_MS) {
      #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
      return Err(delay_ms.ceil() as u64);
    }
    #[allow(clippy::cast_precision_loss)]
    let size = bytes.map_or(self.typical_bytes, |bytes| bytes as f64);
    self.typical_bytes += Self::TYPICAL_WEIGHT * (size - self.typical_bytes);
    self.bodies.add(now, size);
    self.total.add(now, size);
    Ok(())
  }

  /// Counts received bytes of other traffic: heads, small bodies, answers.
  pub fn note(&mut self, now: Time, bytes: u64) {
    #[allow(clippy::cast_precision_loss)]
    self.total.add(now, bytes as f64);
  }

  /// Returns the milliseconds that an answer of another box waits for the link.
  pub fn answer_wait_ms(&self, now: Time) -> f64 {
    self.total.delay_ms(now)
  }

  /// Returns the longest wait in milliseconds of a body that another box could take as well.
  pub fn optional_wait_ms(bytes: Option<u64>) -> u64 {
    let is_medium = bytes.is_some_and(|bytes| bytes <= Self::LARGE_BYTES);
    if is_medium { Self::OPTIONAL_WAIT_MS } else { 0 }
  }

  fn delay_ms(&self, now: Time) -> f64 {
    self.bodies.delay_ms(now).max(self.total.delay_ms(now))
  }

  /// Queue length in percent of its limit.
  pub fn load_percent(&self, now: Time) -> u32 {
    let percent = |queue: &LinkQueue| queue.percent_of(now, Self::QUEUE_MAX_MS);
    percent(&self.bodies).max(percent(&self.total))
  }
}
