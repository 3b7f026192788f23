use super::{urgency::fraction_of, *};

/// When a refused caller should come back.
///
/// Used for refusals for lack of room, where [`ReturnSchedules`] has no plan, and for calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReturnTime {
  /// Why it is refused.
  pub kind: RefusalKind,
  /// Milliseconds that the caller has left.
  pub left_ms: u64,
  /// Milliseconds until this box expects room; `None` where it doesn't know.
  pub wait_ms: Option<u64>,
}

impl ReturnTime {
  /// Milliseconds after which calls that fail at present may succeed again.
  const CALLS_FAIL_MS: u64 = 500;
  /// The part of the latest return over which callers that are refused on their entry are spread.
  const ENTRY_SPREAD: f64 = 0.4;
  /// The fraction of their remaining time that callers wait at most, whatever they are told.
  const LEFT_FRACTION: f64 = 0.33;
  /// The fraction of the wait over which the returns of callers that were refused together are
  /// spread, so that they come as slots become free.
  const SPREAD_FRACTION: f64 = 0.5;
  /// Shortest spread in milliseconds: a few rounds of short runs.
  const SPREAD_MIN_MS: u64 = 20;
  /// Least factor on the latest return where no wait is expected.
  const UNKNOWN_FACTOR_MIN: f64 = 0.8;
  /// How much may be added to that factor, so that callers are spread.
  const UNKNOWN_FACTOR_SPREAD: f64 = 0.4;

  /// Returns the milliseconds after which the caller should come back. `at`, from 0 to 1, spreads
  /// callers that are refused together.
  pub fn retry_after_ms(self, at: f64) -> u64 {
    let wait_ms = self.wait_ms.unwrap_or_default();
    match self.kind {
      RefusalKind::CallsFail => Self::CALLS_FAIL_MS,
      RefusalKind::CallsFull => wait_ms,
      RefusalKind::Entry => self.after_entry_ms(wait_ms, at),
      RefusalKind::Tried { told_ms } if wait_ms == 0 => self.after_tries_ms(told_ms, at),
      RefusalKind::Tried { .. } => self.after_wait_ms(wait_ms, at),
    }
  }

  /// Returns the milliseconds after which a caller with `left_ms` left comes back at the latest.
  pub fn latest_ms(left_ms: u64) -> u64 {
    fraction_of(left_ms, Self::LEFT_FRACTION)
  }

  /// Late in the caller's time, and not before those that wait now have run.
  fn after_entry_ms(self, wait_ms: u64, at: f64) -> u64 {
    let part = Self::LEFT_FRACTION * (1.0 - Self::ENTRY_SPREAD * (1.0 - at));
    fraction_of(self.left_ms, part).max(wait_ms.min(Self::latest_ms(self.left_ms))).max(1)
  }

  /// An immediate return would meet the same load, and take a slot from a request that can still be
  /// in time.
  fn after_tries_ms(self, told_ms: u64, at: f64) -> u64 {
    let factor = Self::UNKNOWN_FACTOR_MIN + Self::UNKNOWN_FACTOR_SPREAD * at;
    told_ms.max(fraction_of(self.left_ms, Self::LEFT_FRACTION * factor))
  }

  /// Once there is room, and at the latest when the caller comes back by itself.
  fn after_wait_ms(self, wait_ms: u64, at: f64) -> u64 {
    let spread_ms = fraction_of(wait_ms, Self::SPREAD_FRACTION).max(Self::SPREAD_MIN_MS);
    (wait_ms + fraction_of(spread_ms, at)).min(Self::latest_ms(self.left_ms).max(1))
  }
}
