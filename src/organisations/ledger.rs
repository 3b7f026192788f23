use super::*;

/// The token ledger of one organisation, held by the daemon that owns it.
#[derive(Clone, Debug)]
pub struct Ledger {
  bucket: TokenBucket,
  /// The rate of tokens that were asked for and not available.
  unmet: DemandMeter,
}

impl Ledger {
  /// The fraction of the burst that a new ledger starts with. Its previous owner may have just given out all
  /// of it.
  const INITIAL_FRACTION: f64 = 0.1;
  /// The shortest retry delay of a caller without a token, in milliseconds.
  const RETRY_MIN_MS: f64 = 100.0;
  /// The longest retry delay of a caller without a token, in milliseconds.
  const RETRY_MAX_MS: f64 = 5_000.0;

  /// Creates a ledger that no other box can have owned for the last `alone_ms` milliseconds.
  #[allow(clippy::cast_precision_loss)]
  pub fn new(now: Time, limit: RateLimit, alone_ms: u64) -> Self {
    let earned = limit.rate.requests_per_s() * alone_ms as f64 / 1_000.0;
    let most = Self::capacity(limit, 1.0);
    let tokens = (most * Self::INITIAL_FRACTION + earned).min(most);
    Self { bucket: TokenBucket::new(now, tokens), unmet: DemandMeter::default() }
  }

  /// Gives out up to `wanted` tokens. `share` is the fraction of the limit that this ledger may give out.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn draw(&mut self, now: Time, limit: RateLimit, share: f64, wanted: u64) -> Grant {
    let per_s = limit.rate.requests_per_s() * share;
    self.bucket.fill(now, per_s, Self::capacity(limit, share));
    let tokens = self.bucket.take(wanted);
    self.unmet.record(now, wanted - tokens);
    let retry_after_ms = self.unmet.per_s(now) * 1_000.0 / per_s.max(f64::MIN_POSITIVE);
    let retry_after_ms = retry_after_ms.clamp(Self::RETRY_MIN_MS, Self::RETRY_MAX_MS) as u64;
    Grant { retry_after_ms, tokens }
  }

  /// The capacity in tokens. At least one, or no request would ever be admitted.
  #[allow(clippy::cast_precision_loss)]
  fn capacity(limit: RateLimit, share: f64) -> f64 {
    let spent_late = limit.rate.requests_per_s() * TOKEN_LIFETIME_MS as f64 / 1_000.0;
    ((limit.burst as f64 - spent_late) * share).max(1.0)
  }
}
