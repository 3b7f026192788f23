use super::*;

/// The recent work of one kind at a box, in short windows, and how it changes.
#[derive(Clone, Debug)]
pub(super) struct WorkTrend {
  /// The newest window, counted from the start of time.
  newest: u64,
  /// Microseconds of work in each window, the newest last; it is not complete yet.
  windows: VecDeque<u64>,
}

/// Work in microseconds a millisecond, expected by a trend.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkForecast {
  /// At the middle of the observed time, which is `age_ms` ago.
  mean: f64,
  age_ms: f64,
  /// By how much it grows in a millisecond.
  slope: f64,
}

impl WorkTrend {
  /// Length of a window in milliseconds: a box that takes 20 requests a second sees several in one.
  const WINDOW_MS: u64 = 250;
  /// Complete windows that are kept: two seconds, enough for a slope and short beside the
  /// changes of load that it follows.
  const WINDOWS: usize = 8;
  /// Windows of the recent rate, a second, and fewest that show a slope.
  const RATE_WINDOWS: usize = 4;

  pub fn new(now: Time) -> Self {
    Self { newest: now.0 / Self::WINDOW_MS, windows: VecDeque::from([0]) }
  }

  pub fn add(&mut self, now: Time, work_us: u64) {
    self.advance(now);
    if let Some(newest) = self.windows.back_mut() {
      *newest += work_us;
    }
  }

  /// Returns the work of the last second in microseconds a millisecond; `None` for shorter.
  #[allow(clippy::cast_precision_loss)]
  pub fn rate(&mut self, now: Time) -> Option<f64> {
    self.advance(now);
    let recent = self.windows.iter().rev().skip(1).take(Self::RATE_WINDOWS);
    let is_known = recent.len() == Self::RATE_WINDOWS;
    let recent_ms = Self::RATE_WINDOWS as f64 * Self::WINDOW_MS as f64;
    is_known.then(|| recent.sum::<u64>() as f64 / recent_ms)
  }

  /// Returns what is expected by the line through the windows (least squares); nothing where less
  /// than a second is known.
  #[allow(clippy::cast_precision_loss)]
  pub fn forecast(&mut self, now: Time) -> WorkForecast {
    self.advance(now);
    let count = self.windows.len() - 1;
    let window_ms = Self::WINDOW_MS as f64;
    if count < Self::RATE_WINDOWS {
      return WorkForecast::default();
    }
    let complete = || self.windows.iter().take(count).map(|work| *work as f64 / window_ms);
    let mean = complete().sum::<f64>() / count as f64;
    let middle = (count as f64 - 1.0) / 2.0;
    let offsets = || (0..count).map(|index| index as f64 - middle);
    let rise: f64 = offsets().zip(complete()).map(|(offset, work)| offset * (work - mean)).sum();
    let spread: f64 = offsets().map(|offset| offset * offset).sum();
    let slope = rise / spread;
    let errors = offsets().zip(complete()).map(|(offset, work)| work - mean - slope * offset);
    let variance = errors.map(|error| error * error).sum::<f64>() / (count as f64 - 2.0) / spread;
    // A slope that is no larger than its standard error says nothing.
    let part = if slope == 0.0 { 0.0 } else { (1.0 - variance / (slope * slope)).max(0.0) };
    let age_ms = (middle + 1.0) * window_ms;
    WorkForecast { age_ms, mean, slope: slope * part / window_ms }
  }

  fn advance(&mut self, now: Time) {
    let current = now.0 / Self::WINDOW_MS;
    let passed = current.saturating_sub(self.newest).min(Self::WINDOWS as u64 + 1);
    for _ in 0..passed {
      self.windows.push_back(0);
    }
    while self.windows.len() > Self::WINDOWS + 1 {
      self.windows.pop_front();
    }
    self.newest = self.newest.max(current);
  }
}

impl WorkForecast {
  /// Largest multiple of the mean that is expected: a line says little far ahead.
  const MULTIPLE_MAX: f64 = 2.0;

  /// Returns the work expected in `after_ms`.
  #[allow(clippy::cast_precision_loss)]
  pub fn after(self, after_ms: u64) -> f64 {
    let expected = self.mean + self.slope * (self.age_ms + after_ms as f64);
    expected.clamp(0.0, self.mean * Self::MULTIPLE_MAX)
  }
}
