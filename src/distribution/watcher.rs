use super::*;

/// How a relay follows the store: one list, then one waiting watch after another.
#[derive(Clone, Debug, Default)]
pub struct Watcher {
  failures: u32,
  /// The newest head seen, with its revision.
  head: Option<(Revision, Head)>,
  /// The outstanding read of the head alone.
  head_call: Option<u64>,
  listed_at: Time,
  phase: Phase,
  /// The version for which the head was last read alone.
  reread_for: Version,
  /// The outstanding read of a snapshot.
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

/// What the store said.
#[derive(Default)]
pub(super) struct Seen {
  /// A head came that was not known.
  pub(super) head: bool,
  /// Relay slots that changed; all slots where `listed`.
  pub(super) relays: Vec<(RelaySlot, Option<Peer>)>,
  /// Whether the store was read whole.
  pub(super) listed: bool,
  /// A snapshot that was asked for.
  pub(super) snapshot: Option<Configuration>,
  /// The store answered in order.
  pub(super) confirmed: bool,
}

impl Watcher {
  /// Longest pause after failures.
  const BACKOFF_MAX_MS: u64 = 5_000;
  /// Milliseconds after which the store is read whole again, in case a watch skipped a change.
  const RELIST_MS: u64 = 60_000;
  /// Milliseconds that one watch waits.
  const WATCH_MS: u64 = 10_000;

  /// Whether the store was read whole, so that a missing head means that there is none.
  pub(super) fn is_listed(&self) -> bool {
    matches!(self.phase, Phase::Watching { .. })
  }

  /// The newest head seen.
  pub fn head(&self) -> Option<&Head> {
    self.head.as_ref().map(|(_, head)| head)
  }

  /// The next call, where one is due.
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

  /// Reads the head because of a newer version that the watch may have skipped, at most once for
  /// each version.
  pub(super) fn reread(&mut self, call: u64, version: Version) -> Option<StoreRequest> {
    let known = self.head().map(|head| head.version);
    if known >= Some(version) || self.reread_for >= version {
      return None;
    }
    self.reread_for = version;
    self.head_call = Some(call);
    Some(StoreRequest::Read { key: keys::head() })
  }

  /// Asks for the snapshot that the head names.
  pub(super) fn read_snapshot(&mut self, call: u64) -> Option<StoreRequest> {
    if self.snapshot_call.is_some() {
      return None;
    }
    let (_, head) = self.head.as_ref()?;
    self.snapshot_call = Some(call);
    Some(StoreRequest::Read { key: keys::snapshot(head.snapshot_version, &head.snapshot_digest) })
  }

  /// Takes in the answer to one of the watcher's calls; nothing where the call is not its own.
  pub(super) fn answered(
    &mut self,
    now: Time,
    call: u64,
    result: &store::Result<Reply>,
    next_call: u64,
    rng: &mut ChaCha8Rng,
  ) -> Option<(Seen, Option<StoreRequest>)> {
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
        Some((Seen::default(), None))
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

  fn listed(&mut self, entries: &[Entry]) -> Seen {
    let mut seen = Seen { confirmed: true, listed: true, ..Seen::default() };
    let has_head = entries.iter().any(|entry| entry.key == keys::head());
    if !has_head {
      self.head = None;
    }
    for entry in entries {
      self.note(&entry.key, Some(entry), &mut seen);
    }
    seen
  }

  fn changed(&mut self, events: &[store::Event]) -> Seen {
    let mut seen = Seen { confirmed: true, ..Seen::default() };
    for event in events {
      self.note(&event.key, event.entry.as_ref(), &mut seen);
    }
    seen
  }

  /// Repeated and reordered reports of a key are harmless: heads are ordered by revision, and relay
  /// slots are set right by the next list.
  fn note(&mut self, key: &Key, entry: Option<&Entry>, seen: &mut Seen) {
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

  fn head_read(&mut self, result: &store::Result<Reply>) -> Seen {
    let mut seen = Seen::default();
    if let Ok(Reply::Entry { entry: Some(entry), .. }) = result {
      self.note(&entry.key, Some(entry), &mut seen);
    }
    seen
  }

  fn snapshot_read(result: &store::Result<Reply>) -> Seen {
    let Ok(Reply::Entry { entry: Some(entry), .. }) = result else {
      return Seen::default();
    };
    Seen { snapshot: entry.value.decode().ok(), ..Seen::default() }
  }

  /// Forgets all, once the daemon is no relay any more.
  pub(super) fn rest(&mut self) {
    *self = Self::default();
  }
}
