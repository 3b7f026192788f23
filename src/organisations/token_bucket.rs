use super::*;

/// A token bucket. The rate and the capacity are given at each fill.
#[derive(Clone, Debug)]
pub struct TokenBucket {
  at: Time,
  /// The tokens held, from 0 to the capacity.
  tokens: f64,
}

impl TokenBucket {
  /// Creates a bucket with an initial number of tokens.
  pub fn new(now: Time, tokens: f64) -> Self {
    Self { at: now, tokens }
  }

  /// Adds the tokens earned since the last fill at `per_s` tokens a second, up to a capacity of `most`.
  #[allow(clippy::cast_precision_loss)]
  pub fn fill(&mut self, now: Time, per_s: f64, most: f64) {
    let passed_s = now.since_ms(self.at) as f64 / 1_000.0;
    self.tokens = (self.tokens + passed_s * per_s).min(most);
    self.at = now;
  }

  /// Takes up to `wanted` whole tokens. Returns how many were taken.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn take(&mut self, wanted: u64) -> u64 {
    let taken = wanted.min(self.tokens as u64);
    self.tokens -= taken as f64;
    taken
  }
}
