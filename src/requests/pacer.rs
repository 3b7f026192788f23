use super::*;

/// Spaces the requests to a backend server that named a rate limit.
///
/// A leaky bucket: each request that passes takes its share of a second at the rate, and a short
/// backlog of such shares may build up, so that requests which come together need not wait.
#[derive(Clone, Debug)]
pub struct Pacer {
  /// Until when the requests that passed last at the rate, in milliseconds.
  busy_until_ms: f64,
  /// Milliseconds that a request lasts at the rate.
  interval_ms: f64,
}

impl Pacer {
  /// Longest backlog in milliseconds with which another request may pass. In any second at most a
  /// quarter more than the rate passes, and one request.
  const BURST_MS: f64 = 250.0;
  /// Lowest rate, in requests a second: a backend server without requests has no answer in which to
  /// end its limit.
  const RATE_MIN_PER_S: f64 = 0.25;

  /// Creates the pacer of a limit that was just named, with the longest backlog: requests that
  /// passed before still run.
  pub fn new(now: Time, rate: Rate) -> Self {
    Self { busy_until_ms: to_ms(now) + Self::BURST_MS, interval_ms: Self::interval_ms(rate) }
  }

  fn interval_ms(rate: Rate) -> f64 {
    1_000.0 / rate.requests_per_s().max(Self::RATE_MIN_PER_S)
  }

  /// Changes the rate. The backlog stays the same number of requests.
  pub fn set_rate(&mut self, now: Time, rate: Rate) {
    let backlog = self.backlog_ms(now) / self.interval_ms;
    self.interval_ms = Self::interval_ms(rate);
    self.busy_until_ms = to_ms(now) + backlog * self.interval_ms;
  }

  /// Milliseconds until a request may pass that lets `ahead` others pass first; 0 if it may now.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn wait_ms(&self, now: Time, ahead: usize) -> u64 {
    let others_ms = ahead as f64 * self.interval_ms;
    (self.backlog_ms(now) + others_ms - Self::BURST_MS).ceil().max(0.0) as u64
  }

  /// Records a request that passes.
  pub fn pass(&mut self, now: Time) {
    self.busy_until_ms = to_ms(now) + self.backlog_ms(now) + self.interval_ms;
  }

  /// The backlog with `waiting` further requests, in percent of that with which another request may
  /// just pass.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn load_percent(&self, now: Time, waiting: usize) -> u32 {
    let backlog_ms = self.backlog_ms(now) + waiting as f64 * self.interval_ms;
    (backlog_ms * 100.0 / Self::BURST_MS) as u32
  }

  fn backlog_ms(&self, now: Time) -> f64 {
    (self.busy_until_ms - to_ms(now)).max(0.0)
  }
}

#[allow(clippy::cast_precision_loss)]
fn to_ms(time: Time) -> f64 {
  time.0 as f64
}
