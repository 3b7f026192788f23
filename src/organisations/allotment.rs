use super::*;

/// What a daemon holds of one organisation's tokens, and who waits for some.
#[derive(Clone, Debug)]
pub struct Allotment<W> {
  pub(super) demand: DemandMeter,
  /// Whether the ledger is being asked.
  pub(super) is_drawing: bool,
  /// Tokens that were drawn ahead. Worthless from `kept_until` on, for the ledger has given out others since.
  tokens: u64,
  kept_until: Time,
  /// Until when requests are refused without asking, and when they may come back.
  pub(super) refused: Option<(Time, u64)>,
  /// Stands in for the ledger where that cannot be reached.
  pub(super) spare: Option<TokenBucket>,
  /// When the ledger may be asked again.
  pub(super) unreachable_until: Time,
  /// Requests that wait for the ledger's answer, the first one first.
  pub(super) waiting: VecDeque<W>,
}

impl<W> Allotment<W> {
  /// Seconds of demand that are drawn ahead. A daemon with fewer requests than ten a second draws for each.
  const AHEAD_S: f64 = 0.1;
  /// The part of what is drawn ahead below which more is drawn, so that requests need not wait for it.
  const LOW_PART: f64 = 0.5;

  /// Takes a token that was drawn ahead.
  pub fn take(&mut self, now: Time) -> bool {
    if now >= self.kept_until {
      self.tokens = 0;
    }
    let has_one = self.tokens > 0;
    self.tokens -= u64::from(has_one);
    has_one
  }

  /// Adds tokens.
  pub fn put(&mut self, now: Time, tokens: u64) {
    if now >= self.kept_until {
      self.tokens = 0;
    }
    self.tokens += tokens;
    self.kept_until = now.after(TOKENS_KEPT_MS);
  }

  /// Tokens to draw now: for those who wait, and ahead where many come.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn wanted(&self, now: Time) -> u64 {
    let held = if now < self.kept_until { self.tokens } else { 0 };
    let ahead = (self.demand.per_s(now) * Self::AHEAD_S) as u64;
    let is_low = (held as f64) < ahead as f64 * Self::LOW_PART;
    let ahead = if is_low { ahead.saturating_sub(held) } else { 0 };
    self.waiting.len() as u64 + ahead
  }
}

impl<W> Default for Allotment<W> {
  fn default() -> Self {
    Self {
      demand: DemandMeter::default(),
      is_drawing: false,
      kept_until: Time::default(),
      refused: None,
      spare: None,
      tokens: 0,
      unreachable_until: Time::default(),
      waiting: VecDeque::new(),
    }
  }
}
