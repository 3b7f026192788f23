use super::*;

/// What was given to a network link and has not crossed it yet, by the link's own speed: a queue that empties as
/// time goes on. Nothing tells how much a link really holds, for a kernel takes bytes long before they cross.
#[derive(Clone, Debug)]
pub struct LinkQueue {
  bytes_per_ms: f64,
  /// When everything that was given will have crossed.
  free_at_ms: f64,
}

impl LinkQueue {
  /// Bytes a millisecond of a megabit a second.
  const BYTES_PER_MS_OF_MBPS: f64 = 125.0;

  /// The queue in front of a part of a link of so many megabits a second.
  pub fn new(link_mbps: f64, part: f64) -> Self {
    Self { bytes_per_ms: link_mbps * Self::BYTES_PER_MS_OF_MBPS * part, free_at_ms: 0.0 }
  }

  /// Bytes are given to the link.
  pub fn put(&mut self, now: Time, bytes: f64) {
    self.free_at_ms = to_ms(now) + self.waits_ms(now) + bytes / self.bytes_per_ms;
  }

  /// Bytes that were counted are not given after all.
  pub fn take_back(&mut self, bytes: f64) {
    self.free_at_ms -= bytes / self.bytes_per_ms;
  }

  /// Milliseconds until what was given has crossed.
  pub fn waits_ms(&self, now: Time) -> f64 {
    (self.free_at_ms - to_ms(now)).max(0.0)
  }

  /// How long the queue is, in percent of so many milliseconds.
  pub fn percent_of(&self, now: Time, full_ms: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let percent = (self.waits_ms(now) * 100.0 / full_ms) as u32;
    percent
  }
}

#[allow(clippy::cast_precision_loss)]
fn to_ms(time: Time) -> f64 {
  time.0 as f64
}
