use super::*;

/// The timeout until the store's answer begins, adapted to the latency of recent answers.
///
/// Only answers raise the timeout, including those that arrive after their call timed out. So calls
/// to a slow store succeed, while an outage is still detected within the minimum timeout, and so is
/// its end.
#[derive(Clone, Debug)]
pub struct AdaptiveTimeout {
  min_ms: u64,
  /// By kind of call, so that a slow kind keeps its timeout while others are answered fast.
  by_kind: BTreeMap<CallKind, RecentTimeout>,
  /// From the answers to calls of any kind, so that a slow store costs only one kind a timed-out
  /// call.
  any_kind: Option<RecentTimeout>,
}

/// The timeout that follows from recent calls.
#[derive(Clone, Copy, Debug)]
struct RecentTimeout {
  at: Time,
  timeout_ms: u64,
}

impl AdaptiveTimeout {
  /// The timeout as a multiple of the latency of a recent answer. Latencies of one slow store
  /// seldom differ by more.
  const LATENCY_FACTOR: u64 = 2;
  /// The maximum timeout as a multiple of the minimum. With the usual minimum of 1 s, a renewal may
  /// still fail twice within a lease of 15 s that is renewed three times.
  const MAX_FACTOR: u64 = 4;
  /// Milliseconds for which the latency of an answer counts. Slow periods and outages of the store
  /// last for seconds.
  const RECENT_MS: u64 = 30_000;

  /// Creates a timeout with a minimum of `min_ms` milliseconds, which applies until a slow answer
  /// raises it.
  pub fn new(min_ms: u64) -> Self {
    Self { min_ms, by_kind: BTreeMap::new(), any_kind: None }
  }

  /// Returns the minimum timeout in milliseconds.
  pub fn min_ms(&self) -> u64 {
    self.min_ms
  }

  /// Returns the maximum timeout in milliseconds. Answers that take longer are discarded.
  pub fn max_ms(&self) -> u64 {
    self.min_ms * Self::MAX_FACTOR
  }

  /// Returns the timeout in milliseconds until the answer begins. The time that a watch asks the
  /// store to wait is not included.
  pub fn timeout_ms(&self, now: Time, kind: CallKind) -> u64 {
    let own_ms = self.recent_ms(now, self.by_kind.get(&kind));
    own_ms.max(self.recent_ms(now, self.any_kind.as_ref()))
  }

  /// Records that an answer began after `took_ms` milliseconds, in time or late. Each answer at
  /// most halves the timeout, so that one fast answer among slow ones doesn't make the next call
  /// time out.
  pub fn answered(&mut self, now: Time, kind: CallKind, took_ms: u64) {
    self.update(now, kind, took_ms * Self::LATENCY_FACTOR);
  }

  /// Records that no answer began within `waited_ms` milliseconds, and halves the timeout. If a
  /// slow store has become silent, each further call detects that sooner. If it has become slower,
  /// its late answers raise the timeout again.
  pub fn timed_out(&mut self, now: Time, kind: CallKind, waited_ms: u64) {
    // A call with a shorter timeout than the current one started before the last answer.
    if waited_ms >= self.timeout_ms(now, kind) {
      self.update(now, kind, self.min_ms);
    }
  }

  fn recent_ms(&self, now: Time, recent: Option<&RecentTimeout>) -> u64 {
    let recent = recent.filter(|one| now.since_ms(one.at) < Self::RECENT_MS);
    recent.map_or(self.min_ms, |one| one.timeout_ms)
  }

  /// Halves the timeouts of the kind and of all calls, but not below `least_ms`.
  fn update(&mut self, now: Time, kind: CallKind, least_ms: u64) {
    let lowered = |recent: Option<&RecentTimeout>| {
      let timeout_ms = least_ms.max(self.recent_ms(now, recent) / 2);
      RecentTimeout { at: now, timeout_ms: timeout_ms.clamp(self.min_ms, self.max_ms()) }
    };
    let (own, any) = (lowered(self.by_kind.get(&kind)), lowered(self.any_kind.as_ref()));
    self.by_kind.insert(kind, own);
    self.any_kind = Some(any);
  }
}
