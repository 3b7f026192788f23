use super::*;

/// The timeout until the store's answer begins, adapted to the latency of recent answers.
///
/// Only answers raise the timeout, including those that arrive after their call timed out. So calls
/// to a slow store succeed, while an outage is still detected within the minimum timeout, and so is
/// its end.
#[derive(Clone, Debug)]
pub struct Patience {
  floor_ms: u64,
  /// By kind of call, so that a slow kind keeps its timeout while others are answered fast.
  lately: BTreeMap<CallKind, Lately>,
  /// From the answers to calls of any kind, so that a slow store costs only one kind a timed-out
  /// call.
  lately_any: Option<Lately>,
}

/// The timeout that follows from recent calls.
#[derive(Clone, Copy, Debug)]
struct Lately {
  at: Time,
  limit_ms: u64,
}

impl Patience {
  /// The timeout as a multiple of the latency of a recent answer. Latencies of one slow store
  /// seldom differ by more.
  const MARGIN: u64 = 2;
  /// The maximum timeout as a multiple of the minimum. With the usual minimum of 1 s, a renewal may
  /// still fail twice within a lease of 15 s that is renewed three times.
  const CAP: u64 = 4;
  /// Milliseconds for which the latency of an answer counts. Slow periods and outages of the store
  /// last for seconds.
  const FORGET_MS: u64 = 30_000;

  /// Creates a timeout with a minimum of `floor_ms` milliseconds, which applies until a slow answer
  /// raises it.
  pub fn new(floor_ms: u64) -> Self {
    Self { floor_ms, lately: BTreeMap::new(), lately_any: None }
  }

  /// Returns the minimum timeout in milliseconds.
  pub fn floor_ms(&self) -> u64 {
    self.floor_ms
  }

  /// Returns the maximum timeout in milliseconds. Answers that take longer are discarded.
  pub fn cap_ms(&self) -> u64 {
    self.floor_ms * Self::CAP
  }

  /// Returns the timeout in milliseconds until the answer begins. The time that a watch asks the
  /// store to wait is not included.
  pub fn limit_ms(&self, now: Time, kind: CallKind) -> u64 {
    let own_ms = self.recent_ms(now, self.lately.get(&kind));
    own_ms.max(self.recent_ms(now, self.lately_any.as_ref()))
  }

  /// Records that an answer began after `took_ms` milliseconds, in time or late. Each answer at
  /// most halves the timeout, so that one fast answer among slow ones doesn't make the next call
  /// time out.
  pub fn answered(&mut self, now: Time, kind: CallKind, took_ms: u64) {
    self.note(now, kind, took_ms * Self::MARGIN);
  }

  /// Records that no answer began within `waited_ms` milliseconds, and halves the timeout. If a
  /// slow store has become silent, each further call detects that sooner. If it has become slower,
  /// its late answers raise the timeout again.
  pub fn given_up(&mut self, now: Time, kind: CallKind, waited_ms: u64) {
    // A call with a shorter timeout than the current one started before the last answer.
    if waited_ms >= self.limit_ms(now, kind) {
      self.note(now, kind, self.floor_ms);
    }
  }

  fn recent_ms(&self, now: Time, lately: Option<&Lately>) -> u64 {
    let recent = lately.filter(|one| now.since_ms(one.at) < Self::FORGET_MS);
    recent.map_or(self.floor_ms, |one| one.limit_ms)
  }

  /// Halves the timeouts of the kind and of all calls, but not below `least_ms`.
  fn note(&mut self, now: Time, kind: CallKind, least_ms: u64) {
    let fallen = |lately: Option<&Lately>| {
      let limit_ms = least_ms.max(self.recent_ms(now, lately) / 2);
      Lately { at: now, limit_ms: limit_ms.clamp(self.floor_ms, self.cap_ms()) }
    };
    let (own, any) = (fallen(self.lately.get(&kind)), fallen(self.lately_any.as_ref()));
    self.lately.insert(kind, own);
    self.lately_any = Some(any);
  }
}
