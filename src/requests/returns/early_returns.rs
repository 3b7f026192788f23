use super::*;

/// Recognises refused callers that come back earlier than they were told.
///
/// Each of their tries would ask several boxes that are known to be full, and take the room of
/// callers that wait as told.
#[derive(Clone, Debug, Default)]
pub struct EarlyReturns {
  /// By fingerprint of the request.
  expected: BTreeMap<Fingerprint, ExpectedReturn>,
  /// The same in the order of the refusals, for the oldest to be forgotten.
  order: VecDeque<Fingerprint>,
}

/// When the first refused caller of a request is expected back.
#[derive(Clone, Copy, Debug)]
struct ExpectedReturn {
  /// It is early before.
  back_at: Time,
  /// It is back by then if it comes at all. Later refusals don't count before.
  until: Time,
}

impl EarlyReturns {
  /// Refused requests that are remembered.
  const REQUESTS_MAX: usize = 2_048;
  /// Callers wait for a third of their remaining time at most, whatever they are told.
  const LEFT_PARTS: u64 = 3;
  /// The fraction of the time told, in percent, after which a caller counts as returning as told:
  /// clocks and timers differ.
  const EARLY_PERCENT: u64 = 80;
  /// The fraction of the time told, in percent, by which a caller is back, for the same reason.
  const LATE_PERCENT: u64 = 120;

  /// Records that a caller with `left_ms` left was told to come back after `retry_after_ms`.
  pub fn told(&mut self, now: Time, fingerprint: Fingerprint, retry_after_ms: u64, left_ms: u64) {
    let wait_ms = retry_after_ms.min(left_ms / Self::LEFT_PARTS);
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

  /// Returns the fingerprint to record if the request is refused, or as an error the milliseconds
  /// by which it comes too early. The refusal of an early one isn't recorded: it would count as the
  /// first to be back, sooner with each try. Calls of running requests are neither early nor
  /// recorded.
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
