use super::*;

/// A token bucket that limits calls per second, with a burst of a tenth of a second.
#[derive(Clone, Debug)]
pub struct Bucket {
  per_second: u64,
  /// The available tokens, in thousandths of a call.
  credit: u64,
  filled_at: Time,
}

impl Bucket {
  /// Creates a full bucket.
  pub fn new(now: Time, per_second: u64) -> Self {
    Self { per_second, credit: Self::burst(per_second), filled_at: now }
  }

  fn burst(per_second: u64) -> u64 {
    (per_second * 100).max(1_000)
  }

  /// Takes the token of one call. If there is none, returns the milliseconds until the next one.
  pub fn take(&mut self, now: Time) -> std::result::Result<(), u64> {
    let earned = now.since_ms(self.filled_at) * self.per_second;
    self.credit = (self.credit + earned).min(Self::burst(self.per_second));
    self.filled_at = now;
    if self.credit < 1_000 {
      return Err((1_000 - self.credit).div_ceil(self.per_second.max(1)).max(1));
    }
    self.credit -= 1_000;
    Ok(())
  }
}
