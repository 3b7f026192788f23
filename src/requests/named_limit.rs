use super::*;

/// The rate limit that a backend server names in its answers, as long as it names one.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
  /// Whether the process has answered since this daemon started.
  has_answered: bool,
  /// When an answer last named the limit. Meaningless without a limit.
  named_at: Time,
  rate: Option<Rate>,
}

impl NamedLimit {
  /// Milliseconds after the last answer that named the limit within which other answers don't end
  /// it: answers may overtake each other, and some of the backend server's answers may lack it.
  const HOLD_MS: u64 = 500;

  /// Handles an answer that names a limit. Returns whether the limit changed.
  pub fn named(&mut self, now: Time, rate: Rate) -> bool {
    self.has_answered = true;
    self.named_at = now;
    self.rate.replace(rate) != Some(rate)
  }

  /// Handles a limit that another daemon knows. It counts until the process answers, for this
  /// daemon may have started after it was named. Returns whether the limit changed.
  pub fn hinted(&mut self, now: Time, rate: Rate) -> bool {
    if self.has_answered || self.rate.is_some() {
      return false;
    }
    self.named_at = now;
    self.rate = Some(rate);
    true
  }

  /// Handles an answer that names no limit. Returns whether this ends the limit.
  pub fn not_named(&mut self, now: Time) -> bool {
    self.has_answered = true;
    if now.since_ms(self.named_at) < Self::HOLD_MS {
      return false;
    }
    self.rate.take().is_some()
  }

  /// Discards the limit of a process that ended.
  pub fn reset(&mut self) {
    *self = Self::default();
  }

  /// The limit in force, if any.
  pub fn rate(&self) -> Option<Rate> {
    self.rate
  }
}
