use super::*;

/// The machine's clock.
pub struct SystemClock {
  started: Duration,
}

impl SystemClock {
  /// Creates a clock whose monotonic time starts now.
  pub fn new() -> Self {
    Self { started: timer::now() }
  }

  fn elapsed(&self) -> Duration {
    timer::now().saturating_sub(self.started)
  }
}

impl Default for SystemClock {
  fn default() -> Self {
    Self::new()
  }
}

impl Clock for SystemClock {
  fn elapsed_us(&self) -> u64 {
    u64::try_from(self.elapsed().as_micros()).unwrap_or(u64::MAX)
  }

  fn now(&self) -> Moment {
    let elapsed_ms = u64::try_from(self.elapsed().as_millis()).unwrap_or(u64::MAX);
    Moment { time: Time(elapsed_ms), unix_ms: unix_ms() }
  }
}
