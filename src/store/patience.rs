use super::*;

/// How long the store may take until its answer begins, by what its answers lately took.
///
/// Only answers lengthen the limit, also those that come after a call was given up: a store that is slow is
/// served, while one that is silent is noticed as soon as ever, and asked anew as soon once it is back.
#[derive(Clone, Debug)]
pub struct Patience {
  floor_ms: u64,
  /// By kind: a slow kind keeps its limit while others are answered fast.
  lately: BTreeMap<CallKind, Lately>,
  /// From the answers to all calls: what one kind found out spares the others a call in vain.
  lately_any: Option<Lately>,
}

/// What some calls lead to expect.
#[derive(Clone, Copy, Debug)]
struct Lately {
  at: Time,
  limit_ms: u64,
}

impl Patience {
  /// How many times as long as an answer lately took the next one may take: the times of one slow store
  /// seldom differ by more.
  const MARGIN: u64 = 2;
  /// The longest limit, as a multiple of the floor: with the usual 1 s, a renewal may still fail twice
  /// within a lease of 15 s that is renewed three times.
  const CAP: u64 = 4;
  /// Milliseconds after which an answer says nothing of the next one any more: a slow spell or an outage of
  /// the store lasts for seconds.
  const FORGET_MS: u64 = 30_000;

  /// Grants `floor_ms` to a store that answers fast, or of which nothing is known.
  pub fn new(floor_ms: u64) -> Self {
    Self { floor_ms, lately: BTreeMap::new(), lately_any: None }
  }

  /// Milliseconds granted to a store that answers fast.
  pub fn floor_ms(&self) -> u64 {
    self.floor_ms
  }

  /// The longest limit in milliseconds: answers that take longer are not waited for by anybody.
  pub fn cap_ms(&self) -> u64 {
    self.floor_ms * Self::CAP
  }

  /// Milliseconds that a call may wait until its answer begins, besides what the store waits on purpose.
  pub fn limit_ms(&self, now: Time, kind: CallKind) -> u64 {
    let own_ms = self.recent_ms(now, self.lately.get(&kind));
    own_ms.max(self.recent_ms(now, self.lately_any.as_ref()))
  }

  /// An answer began after `took_ms`, in time or not. A limit falls by half an answer, so that a fast one
  /// among slow ones does not cut off the next.
  pub fn answered(&mut self, now: Time, kind: CallKind, took_ms: u64) {
    self.note(now, kind, took_ms * Self::MARGIN);
  }

  /// No answer began within `waited_ms`. Where the store was slow and is silent now, that is noticed sooner
  /// from call to call; where it is slower still, its answer says so when it comes.
  pub fn given_up(&mut self, now: Time, kind: CallKind, waited_ms: u64) {
    // A call from before the last answer says nothing new.
    if waited_ms >= self.limit_ms(now, kind) {
      self.note(now, kind, self.floor_ms);
    }
  }

  fn recent_ms(&self, now: Time, lately: Option<&Lately>) -> u64 {
    let recent = lately.filter(|one| now.since_ms(one.at) < Self::FORGET_MS);
    recent.map_or(self.floor_ms, |one| one.limit_ms)
  }

  /// Halves what the kind and all calls lead to expect, where `least_ms` is not more.
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
