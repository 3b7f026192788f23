use super::*;

/// Models the bytes handed to a network link that have not crossed it, as a queue that drains at
/// the link's rate. The real queue can't be read: the kernel accepts bytes long before they cross.
#[derive(Clone, Debug)]
pub struct LinkQueue {
  bytes_per_ms: f64,
  /// When the queue will be empty, in milliseconds.
  free_at_ms: f64,
}

impl LinkQueue {
  /// Bytes per millisecond in one megabit per second.
  const BYTES_PER_MS_OF_MBPS: f64 = 125.0;

  /// Creates the queue of a fraction of a link of `link_mbps` megabits a second.
  pub fn new(link_mbps: f64, fraction: f64) -> Self {
    Self { bytes_per_ms: link_mbps * Self::BYTES_PER_MS_OF_MBPS * fraction, free_at_ms: 0.0 }
  }

  /// Returns the rate in bytes a millisecond.
  pub fn bytes_per_ms(&self) -> f64 {
    self.bytes_per_ms
  }

  /// Adds bytes that were handed to the link.
  pub fn add(&mut self, now: Time, bytes: f64) {
    self.free_at_ms = to_ms(now) + self.delay_ms(now) + bytes / self.bytes_per_ms;
  }

  /// Lengthens the queue to `delay_ms`, if it is shorter.
  pub fn raise(&mut self, now: Time, delay_ms: f64) {
    self.free_at_ms = self.free_at_ms.max(to_ms(now) + delay_ms);
  }

  /// Removes bytes that were counted but not handed to the link.
  pub fn remove(&mut self, bytes: f64) {
    self.free_at_ms -= bytes / self.bytes_per_ms;
  }

  /// Milliseconds until the queue is empty.
  pub fn delay_ms(&self, now: Time) -> f64 {
    (self.free_at_ms - to_ms(now)).max(0.0)
  }

  /// Queue length in percent of `full_ms` milliseconds.
  pub fn percent_of(&self, now: Time, full_ms: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let percent = (self.delay_ms(now) * 100.0 / full_ms) as u32;
    percent
  }
}

#[allow(clippy::cast_precision_loss)]
fn to_ms(time: Time) -> f64 {
  time.0 as f64
}
