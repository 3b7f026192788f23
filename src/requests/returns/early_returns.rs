use super::*;

/// Recognises refused callers that come back earlier than they were told.
///
/// Each of their tries would ask several boxes that are known to be full, and take the room of
/// callers that wait as told.
#[derive(Clone, Debug, Default)]
pub struct EarlyReturns {
  /// By fingerprint of the request, at most [`Self::REQUESTS_MAX`].
  expected: BTreeMap<Fingerprint, ExpectedReturn>,
  /// Number of refusals recorded so far.
  last: u64,
  /// The same requests by when their callers are back, and by the number of the refusal: the first
  /// is forgotten first.
  order: BTreeMap<(Time, u64), Fingerprint>,
}

/// When the first refused caller of a request is expected back.
#[derive(Clone, Copy, Debug)]
struct ExpectedReturn {
  /// A return before this is early.
  back_at: Time,
  /// Early returns of the request.
  early: u32,
  /// Whether the request returned as told.
  is_back: bool,
  /// The number of the refusal.
  number: u64,
  /// Until then, several callers may return with the request.
  shared_until: Time,
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
  /// Early returns of one request that are a series. A single one may be of a caller that another
  /// box refused.
  const SERIES_MIN: u32 = 3;
  /// Percentage of the time told within which a caller is back, for the same reason.
  const LATE_PERCENT: u64 = 120;

  /// Records that a caller with `left_ms` left was told to come back after `retry_after_ms`.
  pub fn told(&mut self, now: Time, fingerprint: Fingerprint, retry_after_ms: u64, left_ms: u64) {
    let wait_ms = retry_after_ms.min(ReturnTime::latest_ms(left_ms));
    let back_at = now.after(wait_ms * Self::EARLY_PERCENT / 100);
    let until = now.after(wait_ms * Self::LATE_PERCENT / 100);
    self.last += 1;
    let fresh = ExpectedReturn {
      back_at,
      early: 0,
      is_back: false,
      number: self.last,
      shared_until: Time::default(),
      until,
    };
    let known = self.expected.get(&fingerprint).copied();
    let expected = known.map_or(fresh, |known| known.refused_again(now, fresh));
    self.insert(fingerprint, expected);
  }

  /// Replaces the expected return of a request. If there are too many, the request is forgotten whose
  /// caller is back first.
  fn insert(&mut self, fingerprint: Fingerprint, expected: ExpectedReturn) {
    if let Some(known) = self.expected.insert(fingerprint, expected) {
      self.order.remove(&(known.until, known.number));
    }
    self.order.insert((expected.until, expected.number), fingerprint);
    if self.expected.len() > Self::REQUESTS_MAX
      && let Some((_, first)) = self.order.pop_first()
    {
      self.expected.remove(&first);
    }
  }

  /// Records the return of a request, `elapsed_ms` after its caller's first try. Returns how its
  /// caller conducted itself, once for each refusal; `None` where this box can't tell.
  pub fn observe(
    &mut self,
    now: Time,
    fingerprint: Fingerprint,
    elapsed_ms: u64,
  ) -> Option<ReturnConduct> {
    let expected = self.expected.get_mut(&fingerprint).filter(|_| elapsed_ms > 0)?;
    let is_certain = now > expected.shared_until;
    if now < expected.back_at {
      expected.early += 1;
      let is_series = is_certain && expected.early == Self::SERIES_MIN;
      return is_series.then_some(ReturnConduct::EarlySeries);
    }
    let is_first = !std::mem::replace(&mut expected.is_back, true);
    let is_patient = is_certain && is_first && expected.early < Self::SERIES_MIN;
    is_patient.then_some(ReturnConduct::AsTold)
  }

  /// Whether this box refused the request, and the time told is over.
  pub fn is_back_as_told(&self, now: Time, fingerprint: Fingerprint) -> bool {
    self.expected.get(&fingerprint).is_some_and(|expected| now >= expected.back_at)
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

impl ExpectedReturn {
  /// Returns what is expected after the same request was refused once more. Of several callers, the
  /// first to be back counts.
  fn refused_again(self, now: Time, fresh: Self) -> Self {
    let is_over = now > self.until || self.is_back && now > self.shared_until;
    if is_over {
      return Self { shared_until: self.shared_until, ..fresh };
    }
    let shared_until = self.shared_until.max(self.until).max(fresh.until);
    if fresh.back_at < self.back_at {
      let until = self.until.max(fresh.until);
      return Self { early: self.early, shared_until, until, ..fresh };
    }
    Self { shared_until, ..self }
  }
}
