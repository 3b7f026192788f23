use super::*;

/// Follows the store on a relay: lists the watched keys once, then long-polls for changes.
#[derive(Clone, Debug, Default)]
pub struct Watcher {
  failures: u32,
  /// The newest head read, with its revision.
  head: Option<(Revision, Head)>,
  /// The outstanding call that reads only the head.
  head_call: Option<u64>,
  listed_at: Time,
  phase: Phase,
  /// The version that last caused such a read.
  reread_for: Version,
  /// The outstanding call that reads a snapshot.
  snapshot_call: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
  Backoff {
    until: Time,
  },
  #[default]
  Idle,
  Listing {
    call: u64,
  },
  Watching {
    call: u64,
  },
}

/// The content of an answer of the store.
#[derive(Default)]
pub(super) struct WatchResult {
  /// Whether the head is newer than the known one.
  pub(super) head: bool,
  /// Changed relay slots; all slots if `listed`.
  pub(super) relays: Vec<(RelaySlot, Option<Peer>)>,
  /// Whether all watched keys were listed.
  pub(super) listed: bool,
  /// The requested snapshot.
  pub(super) snapshot: Option<Configuration>,
  /// Whether a list or watch succeeded.
  pub(super) confirmed: bool,
}

impl Watcher {
  /// Longest pause after failures, in milliseconds.
  const BACKOFF_MAX_MS: u64 = 5_000;
  /// Interval after which all watched keys are listed again, in case a watch missed a change, in
  /// milliseconds.
  const RELIST_MS: u64 = 60_000;
  /// Time that one watch waits for a change, in milliseconds.
  const WATCH_MS: u64 = 10_000;

  /// Whether the watched keys were listed, so that an unknown head means that the store has none.
  pub(super) fn is_listed(&self) -> bool {
    matches!(self.phase, Phase::Watching { .. })
  }

  /// Returns the newest head read.
  pub fn head(&self) -> Option<&Head> {
    self.head.as_ref().map(|(_, head)| head)
  }

  /// Returns the next call, if one is due.
  pub(super) fn tick(&mut self, now: Time, call: u64) -> Option<StoreRequest> {
    match self.phase {
      Phase::Backoff { until } if now < until => None,
      Phase::Backoff { .. } | Phase::Idle => Some(self.list(now, call)),
      Phase::Listing { .. } | Phase::Watching { .. } => None,
    }
  }

  fn list(&mut self, now: Time, call: u64) -> StoreRequest {
    self.listed_at = now;
    self.phase = Phase::Listing { call };
    StoreRequest::List { prefix: keys::watched() }
  }

  /// Reads the head because a newer version is known that the watch may have missed, at most once
  /// for each version.
  pub(super) fn reread(&mut self, call: u64, version: Version) -> Option<StoreRequest> {
    let known = self.head().map(|head| head.version);
    if known >= Some(version) || self.reread_for >= version {
      return None;
    }
    self.reread_for = version;
    self.head_call = Some(call);
    Some(StoreRequest::Read { key: keys::head() })
  }

  /// Returns the call that reads the snapshot that the head names.
  pub(super) fn read_snapshot(&mut self, call: u64) -> Option<StoreRequest> {
    if self.snapshot_call.is_some() {
      return None;
    }
    let (_, head) = self.head.as_ref()?;
    self.snapshot_call = Some(call);
    Some(StoreRequest::Read { key: keys::snapshot(head.snapshot_version, &head.snapshot_digest) })
  }

  /// Handles the answer to a call; returns `None` if the call was not made by this watcher.
  pub(super) fn answered(
    &mut self,
    now: Time,
    call: u64,
    result: &store::Result<Reply>,
    next_call: u64,
    rng: &mut ChaCha8Rng,
  ) -> Option<(WatchResult, Option<StoreRequest>)> {
    if self.snapshot_call == Some(call) {
      self.snapshot_call = None;
      return Some((Self::snapshot_read(result), None));
    }
    if self.head_call == Some(call) {
      self.head_call = None;
      return Some((self.head_read(result), None));
    }
    match self.phase {
      Phase::Listing { call: own } if own == call => {}
      Phase::Watching { call: own } if own == call => {}
      _ => return None,
    }
    match result {
      Ok(Reply::Entries { entries, revision }) => {
        let seen = self.listed(entries);
        Some((seen, Some(self.watch(*revision, next_call))))
      }
      Ok(Reply::Changes { events, revision }) => {
        let seen = self.changed(events);
        if now.since_ms(self.listed_at) > Self::RELIST_MS {
          return Some((seen, Some(self.list(now, next_call))));
        }
        Some((seen, Some(self.watch(*revision, next_call))))
      }
      _ => {
        self.back_off(now, rng);
        Some((WatchResult::default(), None))
      }
    }
  }

  fn back_off(&mut self, now: Time, rng: &mut ChaCha8Rng) {
    let base_ms = (100 << self.failures.min(6)).min(Self::BACKOFF_MAX_MS);
    self.failures = self.failures.saturating_add(1);
    self.phase = Phase::Backoff { until: now.after(rng.random_range(base_ms / 2..=base_ms)) };
  }

  fn watch(&mut self, after: Revision, call: u64) -> StoreRequest {
    self.failures = 0;
    self.phase = Phase::Watching { call };
    StoreRequest::Watch { after, prefix: keys::watched(), wait_ms: Self::WATCH_MS }
  }

  fn listed(&mut self, entries: &[Entry]) -> WatchResult {
    let mut seen = WatchResult { confirmed: true, listed: true, ..WatchResult::default() };
    let has_head = entries.iter().any(|entry| entry.key == keys::head());
    if !has_head {
      self.head = None;
    }
    for entry in entries {
      self.note(&entry.key, Some(entry), &mut seen);
    }
    seen
  }

  fn changed(&mut self, events: &[store::Event]) -> WatchResult {
    let mut seen = WatchResult { confirmed: true, ..WatchResult::default() };
    for event in events {
      self.note(&event.key, event.entry.as_ref(), &mut seen);
    }
    seen
  }

  /// Records the entry of a key. Repeated and reordered entries are harmless: heads are ordered by
  /// revision, and the next list corrects the relay slots.
  fn note(&mut self, key: &Key, entry: Option<&Entry>, seen: &mut WatchResult) {
    if let Some(slot) = keys::slot_of(key) {
      let peer = entry.and_then(|entry| entry.value.decode().ok());
      seen.relays.push((slot, peer));
      return;
    }
    let Some(entry) = entry.filter(|_| *key == keys::head()) else {
      return;
    };
    let known = self.head.as_ref().is_some_and(|(revision, _)| *revision >= entry.revision);
    if let Some(head) = entry.value.decode().ok().filter(|_| !known) {
      self.head = Some((entry.revision, head));
      seen.head = true;
    }
  }

  fn head_read(&mut self, result: &store::Result<Reply>) -> WatchResult {
    let mut seen = WatchResult::default();
    if let Ok(Reply::Entry { entry: Some(entry), .. }) = result {
      self.note(&entry.key, Some(entry), &mut seen);
    }
    seen
  }

  fn snapshot_read(result: &store::Result<Reply>) -> WatchResult {
    let Ok(Reply::Entry { entry: Some(entry), .. }) = result else {
      return WatchResult::default();
    };
    WatchResult { snapshot: entry.value.decode().ok(), ..WatchResult::default() }
  }

  /// Returns to the initial state, for a daemon that is no longer a relay.
  pub(super) fn reset(&mut self) {
    *self = Self::default();
  }
}
