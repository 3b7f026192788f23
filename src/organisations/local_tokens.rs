use super::*;

/// The tokens of one organisation held by this daemon, and the requests that wait for tokens.
///
/// `W` is the handle that wakes a waiting request.
#[derive(Clone, Debug)]
pub struct LocalTokens<W> {
  /// The rate of the organisation's requests at this daemon.
  pub(super) demand: DemandMeter,
  /// Whether a draw from the ledger is in progress.
  pub(super) is_drawing: bool,
  /// Prefetched tokens. Void from `kept_until` on, as the ledger gives out new ones by then.
  tokens: u64,
  valid_until: Time,
  /// The time until which requests are refused without asking the ledger, and their retry delay in milliseconds.
  pub(super) refused: Option<(Time, u64)>,
  /// The local bucket used while the ledger is unreachable.
  pub(super) fallback: Option<TokenBucket>,
  /// The time until which an unreachable ledger isn't asked.
  pub(super) unreachable_until: Time,
  /// Requests that wait for the ledger's answer, oldest first.
  pub(super) waiting: VecDeque<W>,
}

impl<W> LocalTokens<W> {
  /// Seconds of demand that are prefetched. A daemon with fewer than ten requests a second draws for each request.
  const PREFETCH_S: f64 = 0.1;
  /// The fraction of the prefetch below which more tokens are drawn, so that requests needn't wait.
  const REFILL_FRACTION: f64 = 0.5;

  /// Takes a prefetched token. Returns whether there was one.
  pub fn take(&mut self, now: Time) -> bool {
    if now >= self.valid_until {
      self.tokens = 0;
    }
    let has_one = self.tokens > 0;
    self.tokens -= u64::from(has_one);
    has_one
  }

  /// Adds tokens, and renews the lifetime of all that are held.
  pub fn put(&mut self, now: Time, tokens: u64) {
    if now >= self.valid_until {
      self.tokens = 0;
    }
    self.tokens += tokens;
    self.valid_until = now.after(TOKEN_LIFETIME_MS);
  }

  /// Adds a returned token to those that are held. Their lifetime is not renewed.
  pub fn give_back(&mut self, now: Time) {
    if now < self.valid_until {
      self.tokens += 1;
    }
  }

  /// The number of tokens to draw now: for the waiting requests, and as a prefetch under high demand.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn wanted(&self, now: Time) -> u64 {
    let held = if now < self.valid_until { self.tokens } else { 0 };
    let prefetch = (self.demand.per_s(now) * Self::PREFETCH_S) as u64;
    let is_low = (held as f64) < prefetch as f64 * Self::REFILL_FRACTION;
    let prefetch = if is_low { prefetch.saturating_sub(held) } else { 0 };
    self.waiting.len() as u64 + prefetch
  }
}

impl<W> Default for LocalTokens<W> {
  fn default() -> Self {
    Self {
      demand: DemandMeter::default(),
      is_drawing: false,
      valid_until: Time::default(),
      refused: None,
      fallback: None,
      tokens: 0,
      unreachable_until: Time::default(),
      waiting: VecDeque::new(),
    }
  }
}
