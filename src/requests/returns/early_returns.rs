use super::*;

/// Recognises refused callers that come back earlier than they were told.
///
/// Each of their tries would ask several boxes that are known to be full, and take the room of
/// callers that wait as told.
#[derive(Clone, Debug, Default)]
pub struct EarlyReturns {
  /// By fingerprint of the request, when the first of its callers may be back.
  expected: BTreeMap<Fingerprint, Time>,
  /// The same in the order of the refusals, for the oldest to be forgotten.
  order: VecDeque<Fingerprint>,
}

impl EarlyReturns {
  /// Refused requests that are remembered.
  const REQUESTS_MAX: usize = 2_048;
  /// Callers wait for a third of their remaining time at most, whatever they are told.
  const LEFT_PARTS: u64 = 3;
  /// The fraction of the time told, in percent, after which a caller counts as returning as told:
  /// clocks and timers differ.
  const EARLY_PERCENT: u64 = 80;

  /// Records that a caller with `left_ms` left was told to come back after `retry_after_ms`.
  pub fn told(&mut self, now: Time, fingerprint: Fingerprint, retry_after_ms: u64, left_ms: u64) {
    let wait_ms = retry_after_ms.min(left_ms / Self::LEFT_PARTS);
    let back_at = now.after(wait_ms * Self::EARLY_PERCENT / 100);
    // Of several callers with the same request, the first to be back counts: none that returns as
    // told is taken for an early one.
    if let Some(known) = self.expected.get_mut(&fingerprint) {
      *known = if *known > now { (*known).min(back_at) } else { back_at };
      return;
    }
    let is_full = self.order.len() >= Self::REQUESTS_MAX;
    if let Some(oldest) = is_full.then(|| self.order.pop_front()).flatten() {
      self.expected.remove(&oldest);
    }
    self.order.push_back(fingerprint);
    self.expected.insert(fingerprint, back_at);
  }

  /// Returns the milliseconds by which a request comes too early; `None` where it comes as told or
  /// for the first time. `elapsed_ms` is the time since its caller's first try.
  pub fn early_ms(&self, now: Time, fingerprint: Fingerprint, elapsed_ms: u64) -> Option<u64> {
    let expected = self.expected.get(&fingerprint).filter(|_| elapsed_ms > 0)?;
    Some(expected.since_ms(now)).filter(|early_ms| *early_ms > 0)
  }
}
