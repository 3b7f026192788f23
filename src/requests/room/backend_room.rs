use super::*;

/// What one backend server last told of its room.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendRoom {
  /// Running and waiting requests in percent of the slots.
  pub load_percent: u32,
  /// Microseconds that a run takes there; 0 where that is unknown.
  pub service_us: u64,
  /// Slots, weighted by the speed of the backend server.
  pub speed_slots: f64,
  /// When it told this.
  pub told_at: Time,
}

impl BackendRoom {
  /// Age in milliseconds at which a report no longer counts. Long enough that a box which takes a
  /// dozen requests a second hears of most backend servers of a large service.
  pub const AGE_MAX_MS: u64 = 3_000;

  /// Reads a report. After a refusal all slots count as taken, whatever load was measured when it
  /// was sent.
  pub fn read(now: Time, slots: u32, condition: Condition, is_refusal: bool) -> Self {
    const FULL_PERCENT: u32 = 100;
    let least_percent = if is_refusal { FULL_PERCENT } else { 0 };
    let slowdown = condition.slowdown.unwrap_or_default();
    Self {
      load_percent: condition.load_percent.max(least_percent),
      service_us: condition.service_us,
      speed_slots: f64::from(slots.max(1)) * 100.0 / f64::from(slowdown.percent()),
      told_at: now,
    }
  }

  /// Returns the weight of this report, which falls from 1 to 0 with its age.
  #[allow(clippy::cast_precision_loss)]
  pub fn freshness(&self, now: Time) -> f64 {
    let age_ms = now.since_ms(self.told_at).min(Self::AGE_MAX_MS);
    1.0 - age_ms as f64 / Self::AGE_MAX_MS as f64
  }

  /// Returns the free slots as a share of all.
  pub fn free_share(&self) -> f64 {
    f64::from(100_u32.saturating_sub(self.load_percent)) / 100.0
  }

  /// Returns the milliseconds for which a request that arrives now waits for a slot, if all that
  /// wait there go first; 0 where a slot is free.
  #[allow(clippy::cast_precision_loss)]
  pub fn wait_ms(&self) -> f64 {
    if self.load_percent < 100 {
      return 0.0;
    }
    let rounds = f64::from(self.load_percent - 100) / 100.0;
    rounds * self.service_us as f64 / 1_000.0
  }
}
