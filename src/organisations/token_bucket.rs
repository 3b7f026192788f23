use super::*;

/// Tokens that fill up at a rate, to a bound.
#[derive(Clone, Debug)]
pub struct TokenBucket {
  at: Time,
  /// From 0 to what the limit allows at once.
  tokens: f64,
}

impl TokenBucket {
  /// A bucket that holds so many tokens now.
  pub fn new(now: Time, tokens: f64) -> Self {
    Self { at: now, tokens }
  }

  /// Fills up to now at `per_s` tokens a second, to `most` at most.
  #[allow(clippy::cast_precision_loss)]
  pub fn fill(&mut self, now: Time, per_s: f64, most: f64) {
    let passed_s = now.since_ms(self.at) as f64 / 1_000.0;
    self.tokens = (self.tokens + passed_s * per_s).min(most);
    self.at = now;
  }

  /// Takes up to so many whole tokens. Returns how many there were.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn take(&mut self, wanted: u64) -> u64 {
    let taken = wanted.min(self.tokens as u64);
    self.tokens -= taken as f64;
    taken
  }
}
