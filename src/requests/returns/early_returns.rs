use super::*;

/// Recognises refused callers that come back earlier than they were told.
///
/// Each of their tries would ask several boxes that are known to be full, and take the room of
/// callers that wait as told.
#[derive(Clone, Debug, Default)]
pub struct EarlyReturns {
  /// By fingerprint of the request.
  expected: BTreeMap<Fingerprint, ExpectedReturn>,
  /// The same in the order of their first refusals, for the oldest to be forgotten.
  order: VecDeque<Fingerprint>,
}

/// When the first refused caller of a request is expected back.
#[derive(Clone, Copy, Debug)]
struct ExpectedReturn {
  /// A return before this is early.
  back_at: Time,
  /// The caller is back by then, if it comes at all. Until then, a later refusal of the same
  /// request counts only if it allows an earlier return.
  until: Time,
}

impl EarlyReturns {
  /// Refused requests that are remembered.
  const REQUESTS_MAX: usize = 2_048;
  /// Percentage of the time told after which a return is no longer early, as clocks and timers
  /// differ.
  const EARLY_PERCENT: u64 = 80;
  /// Percentage of the time told within which a caller is back, for the same reason.
  const LATE_PERCENT: u64 = 120;

  /// Records that a caller with `left_ms` left was told to come back after `retry_after_ms`.
  pub fn told(&mut self, now: Time, fingerprint: Fingerprint, retry_after_ms: u64, left_ms: u64) {
    let wait_ms = retry_after_ms.min(ReturnTime::latest_ms(left_ms));
    let back_at = now.after(wait_ms * Self::EARLY_PERCENT / 100);
    let until = now.after(wait_ms * Self::LATE_PERCENT / 100);
    // Of several callers with the same request, the first to be back counts.
    if let Some(known) = self.expected.get_mut(&fingerprint) {
      if now > known.until {
        *known = ExpectedReturn { back_at, until };
      } else if back_at < known.back_at {
        *known = ExpectedReturn { back_at, until: known.until.max(until) };
      }
      return;
    }
    let is_full = self.order.len() >= Self::REQUESTS_MAX;
    if let Some(oldest) = is_full.then(|| self.order.pop_front()).flatten() {
      self.expected.remove(&oldest);
    }
    self.order.push_back(fingerprint);
    self.expected.insert(fingerprint, ExpectedReturn { back_at, until });
  }

  /// Returns the milliseconds by which a request comes too early; `None` where it comes as told or
  /// for the first time. `elapsed_ms` is the time since its caller's first try.
  pub fn early_ms(&self, now: Time, fingerprint: Fingerprint, elapsed_ms: u64) -> Option<u64> {
    let expected = self.expected.get(&fingerprint).filter(|_| elapsed_ms > 0)?;
    Some(expected.back_at.since_ms(now)).filter(|early_ms| *early_ms > 0)
  }

  /// Checks whether a request comes too early. Returns the fingerprint to record with
  /// [`EarlyReturns::told`] if the request is refused; `None` for calls of running requests, which
  /// are never early and whose refusals are not recorded.
  ///
  /// # Errors
  ///
  /// Returns the milliseconds by which it comes too early. That refusal is not recorded: it would
  /// allow an earlier return with each try.
  pub fn check(
    &self,
    now: Time,
    fingerprint: Fingerprint,
    elapsed_ms: u64,
    is_call: bool,
  ) -> std::result::Result<Option<Fingerprint>, u64> {
    if is_call {
      return Ok(None);
    }
    self.early_ms(now, fingerprint, elapsed_ms).map_or(Ok(Some(fingerprint)), Err)
  }
}
