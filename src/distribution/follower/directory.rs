use super::*;

/// Reads the directory: the entries of all daemons in the store.
impl Follower {
  /// Base interval between two reads of the directory, in milliseconds, for a fleet of any size,
  /// while neighbours do not report changes.
  const DIRECTORY_MS: u64 = 2_000;
  /// Interval of the reads just after the start, in milliseconds, so that boxes that start together
  /// find each other quickly.
  const DIRECTORY_FIRST_MS: u64 = 500;
  /// Minimum interval between two reads while the fleet forms, in milliseconds. Intervals grow,
  /// because a fleet that is still forming will not be complete by the next read either.
  const DIRECTORY_FORMING_MS: u64 = 1_000;
  /// Interval between the slots of two watchers to read the directory, in milliseconds. The first
  /// watcher to see that an entry is gone notifies the fleet.
  const DIRECTORY_SLOT_MS: u64 = 2_000;
  /// Milliseconds added to the base interval per box, so that the bytes read stay bounded.
  const DIRECTORY_PER_BOX_MS: u64 = 20;
  /// Interval between two reads, in milliseconds, by a daemon whose neighbours report changes. It
  /// is long because a read transfers the entries of the whole fleet; a lasting fingerprint
  /// mismatch triggers a read at once.
  const DIRECTORY_IDLE_MS: u64 = 60_000;
  /// Number of consecutive heartbeats of a neighbour with a different fingerprint of the known
  /// boxes after which the directory is read. Fewer mismatches occur while updates are in transit.
  const MISMATCHES_MAX: u32 = 3;
  /// Time, in milliseconds, for which a box may be known from links only: it writes its entry once
  /// it accepts work.
  const UNLISTED_MAX_MS: u64 = 10_000;
  /// Time, in milliseconds, after which a box whose entry disappeared from the store counts as
  /// gone. The entry may have lapsed in an outage, and then its daemon writes it again within two
  /// seconds.
  const LAPSED_GRACE_MS: u64 = 2_500;
  /// Time, in milliseconds, after which a box has usually rewritten its lapsed entry: half of the
  /// grace period, so that a neighbour can still write it in time.
  const REWRITTEN_MS: u64 = Self::LAPSED_GRACE_MS / 2;

  pub(super) fn tick_directory(&mut self) {
    let is_waiting = self.directory_call.is_some() || self.now.time < self.directory_at;
    // In an outage only the cheapest call, the lease renewal, probes the store.
    if is_waiting || self.failing_since.is_some() {
      return;
    }
    let prefix = keys::directory();
    self.directory_call = Some(self.call_store(StoreRequest::ListStale { prefix }));
  }

  /// Milliseconds until the next read.
  fn directory_pause_ms(&mut self) -> u64 {
    let boxes = self.endpoints.present().count() as u64;
    let is_informed = matches!(self.watch, WatchPhase::Idle { .. }) && self.lapsed.is_empty();
    let is_new = self.now.time.since_ms(self.started_at) < Self::DIRECTORY_FIRST_MS;
    let base_ms = if is_new {
      Self::DIRECTORY_FIRST_MS
    } else if self.is_forming() {
      return self.forming_pause_ms();
    } else if self.is_watcher() && !self.is_settling() && self.lapsed.is_empty() {
      return self.until_slot_ms(Self::DIRECTORY_SLOT_MS);
    } else if is_informed {
      Self::DIRECTORY_IDLE_MS
    } else {
      Self::DIRECTORY_MS + Self::DIRECTORY_PER_BOX_MS * boxes
    };
    self.rng.random_range(base_ms * 3 / 4..=base_ms * 5 / 4)
  }

  /// Milliseconds until the next read while the fleet forms. The last read comes when the fleet
  /// counts as formed, which is when neighbours are selected.
  fn forming_pause_ms(&mut self) -> u64 {
    let formed_at = self.started_at.after(Self::FORMING_MS);
    let so_far_ms = self.now.time.since_ms(self.started_at);
    let base_ms = Self::DIRECTORY_FORMING_MS.max(so_far_ms);
    let pause_ms = self.rng.random_range(base_ms * 3 / 4..=base_ms * 5 / 4);
    pause_ms.min(formed_at.since_ms(self.now.time).max(1))
  }

  pub(super) fn directory_answered(&mut self, result: &store::Result<Reply>) {
    self.directory_call = None;
    let pause_ms = match result {
      Ok(_) => self.directory_pause_ms(),
      // The directory should not stay outdated for longer than the outage lasts.
      Err(_) => self.rng.random_range(Self::WATCH_RETRY_MAX_MS..=2 * Self::WATCH_RETRY_MAX_MS),
    };
    self.directory_at = self.now.time.after(pause_ms);
    if let Ok(Reply::Entries { entries, revision }) = result
      && *revision >= self.directory_revision
    {
      let is_first = self.directory_revision == Revision::default();
      self.directory_revision = *revision;
      self.directory_read(entries, *revision);
      self.detect_formation(is_first);
    }
  }

  /// Considers the fleet formed if it existed before this daemon or did not grow since the last
  /// read.
  fn detect_formation(&mut self, is_first: bool) {
    let others = self.endpoints.present().count().saturating_sub(1);
    if others > 0 && (is_first || others == self.others_known) {
      self.formed_at.get_or_insert(self.now.time);
    }
    self.others_known = others;
  }

  fn directory_read(&mut self, entries: &[Entry], revision: Revision) {
    let mut present = BTreeSet::new();
    let mut fresh = Vec::new();
    let known = std::mem::take(&mut self.unreadable);
    for entry in entries {
      let value = entry.value.text().unwrap_or_default();
      if let Some(service) = rollout::keys::service_of(&entry.key, value) {
        self.note_rollout(&service, entry);
      }
    }
    for entry in entries.iter().filter(|entry| entry.key.is_under(&keys::endpoints())) {
      let box_id = self.box_of(entry);
      if let Some(box_id) = &box_id {
        self.listed.insert(box_id.clone());
        self.unlisted.remove(box_id);
        present.insert(box_id.clone());
      }
      match read_endpoint(box_id.as_ref(), &entry.value, self.now.unix_ms) {
        Ok(endpoint) if self.merge_endpoint(&endpoint) => fresh.push(endpoint),
        Ok(_) => {}
        Err(reason) => {
          let (key, revision) = (entry.key.clone(), entry.revision);
          let is_known = known.get(&key).is_some_and(|known| known.revision == revision);
          let unreadable = UnreadableEntry { key, reason, revision };
          if !is_known {
            fresh.extend(self.note_unreadable(box_id.as_ref(), &unreadable));
          }
          self.unreadable.insert(unreadable.key.clone(), unreadable);
        }
      }
    }
    let missing: Vec<BoxId> = self
      .endpoints
      .present()
      .map(|endpoint| endpoint.peer.box_id.clone())
      .filter(|box_id| !present.contains(box_id))
      .collect();
    for box_id in missing {
      self.note_missing(box_id, revision);
    }
    self.endpoints_merged(&fresh, None);
  }

  /// Returns the box whose entry it is. Where the key holds its name shortened, that is a known box
  /// with this key, or the one that the entry describes.
  fn box_of(&self, entry: &Entry) -> Option<BoxId> {
    let has_key = |box_id: &BoxId| keys::endpoint(box_id) == entry.key;
    let known = || {
      let mut known = self.endpoints.iter().map(|endpoint| &endpoint.peer.box_id);
      known.find(|box_id| has_key(box_id)).cloned()
    };
    let described = || Some(entry.value.decode::<Endpoint>().ok()?.peer.box_id).filter(has_key);
    keys::endpoint_of(&entry.key).or_else(known).or_else(described)
  }

  /// Handles an entry that another writer overwrote. Its box is considered lost until it publishes
  /// that it is alive, which it does as soon as it learns of this; it then rewrites its entry, once
  /// for each read that finds it corrupted.
  fn note_unreadable(
    &mut self,
    box_id: Option<&BoxId>,
    unreadable: &UnreadableEntry,
  ) -> Option<Endpoint> {
    self.act(Action::UnreadableEntry(unreadable.clone()));
    let box_id = box_id?;
    if *box_id == self.own.peer.box_id {
      self.catalog.record_refusal(self.now.unix_ms, Error::UnreadableEntry(unreadable.clone()));
      if self.registration.is_missing_at(unreadable.revision) {
        self.announce();
      }
      return None;
    }
    let mut endpoint = self.endpoints.get(box_id)?.clone();
    endpoint.state = EndpointState::Lost;
    self.lapsed.remove(box_id);
    self.endpoints.merge(self.now.time, endpoint.clone()).then_some(endpoint)
  }

  fn note_missing(&mut self, box_id: BoxId, revision: Revision) {
    if box_id == self.own.peer.box_id {
      if self.registration.is_missing_at(revision) {
        self.log("the store lost this box's entry: writing it again");
        self.announce();
      }
      return;
    }
    let now = self.now.time;
    if !self.listed.contains(&box_id) {
      let since = *self.unlisted.entry(box_id.clone()).or_insert(now);
      if now.since_ms(since) < Self::UNLISTED_MAX_MS {
        return;
      }
    }
    // After an outage all entries may have lapsed; boxes that the store serves write theirs again.
    let is_still_missing =
      self.lapsed.get(&box_id).is_some_and(|since| now.since_ms(*since) >= Self::REWRITTEN_MS);
    if is_still_missing && self.is_linked_downstream(&box_id) {
      self.write_entry_for(&box_id);
    }
    if self.lapsed.is_empty() {
      self.directory_at = self.directory_at.min(now.after(Self::REWRITTEN_MS));
    }
    self.lapsed.entry(box_id).or_insert(now);
  }

  /// Compares the fingerprint of a neighbour's known boxes with the own one. If they stay
  /// different, one of the two missed an update.
  pub(super) fn compare_fingerprints(&mut self, link: LinkId, fingerprint: u32) {
    let differs = fingerprint != self.endpoints.fingerprint();
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.fingerprint_mismatches = if differs { known.fingerprint_mismatches + 1 } else { 0 };
    if known.fingerprint_mismatches >= Self::MISMATCHES_MAX {
      known.fingerprint_mismatches = 0;
      self.directory_at = self.now.time;
    }
  }

  /// Declares boxes lost whose entry did not reappear while the store serves this daemon.
  pub(super) fn declare_lost(&mut self) {
    if self.failing_since.is_some() {
      return;
    }
    let now = self.now.time;
    let over: Vec<BoxId> = self
      .lapsed
      .iter()
      .filter(|(_, since)| now.since_ms(**since) >= Self::LAPSED_GRACE_MS)
      .map(|(box_id, _)| box_id.clone())
      .collect();
    let mut lost = Vec::new();
    for box_id in over {
      self.lapsed.remove(&box_id);
      self.listed.remove(&box_id);
      self.unlisted.remove(&box_id);
      let Some(mut endpoint) = self.endpoints.get(&box_id).cloned() else {
        continue;
      };
      endpoint.state = EndpointState::Lost;
      if self.endpoints.merge(now, endpoint.clone()) {
        self.log(format!("box {box_id} is lost: its entry left the store and was not rewritten"));
        lost.push(endpoint);
      }
    }
    self.endpoints_merged(&lost, None);
  }

  /// Writes the entry of a box that is alive but that the store does not serve.
  pub(super) fn write_entry_for(&mut self, box_id: &BoxId) {
    let Some(lease) = self.registration.lease().filter(|_| self.failing_since.is_none()) else {
      return;
    };
    let Some(endpoint) = self.endpoints.get(box_id).filter(|one| !one.state.is_gone()) else {
      return;
    };
    let value = to_json(endpoint);
    self.entries_for_others.insert(box_id.clone());
    self.log(format!("writing the entry of box {box_id} for it: it is alive, but has no entry"));
    let key = keys::endpoint(box_id);
    self.call_store(StoreRequest::Put { key, lease: Some(lease), value });
  }
}

/// Maximum clock lead, in milliseconds, of another box at its start: one year. The box itself could
/// never supersede an entry beyond that.
const INCARNATION_AHEAD_MAX_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// Decodes an entry, or explains why it does not describe the box that its key names.
fn read_endpoint(box_id: Option<&BoxId>, value: &Value, unix_ms: u64) -> Result<Endpoint, String> {
  let box_id = box_id.ok_or("the key does not name a box")?;
  let endpoint: Endpoint = value.decode()?;
  if endpoint.peer.box_id != *box_id {
    return Err(format!("it describes box {}", endpoint.peer.box_id));
  }
  let is_sane = endpoint.incarnation.0 <= unix_ms.saturating_add(INCARNATION_AHEAD_MAX_MS)
    && endpoint.sequence < u64::from(u32::MAX);
  if is_sane { Ok(endpoint) } else { Err("its incarnation or sequence is too high".into()) }
}
