use super::*;

/// The directory: the entries of all daemons in the store.
impl Follower {
  /// Milliseconds between two reads of the directory by a watcher, in a fleet of any size.
  const DIRECTORY_MS: u64 = 2_000;
  /// Milliseconds between the first reads: a fleet that starts at once finds itself that soon.
  const DIRECTORY_FIRST_MS: u64 = 500;
  /// Milliseconds between two reads while the fleet forms, at least. Pauses grow: a fleet that still does is not known
  /// by the next read either.
  const DIRECTORY_FORMING_MS: u64 = 1_000;
  /// Milliseconds between the turns of two watchers to read the directory: whichever sees first that an entry
  /// is gone tells the fleet.
  const DIRECTORY_TURN_MS: u64 = 2_000;
  /// Milliseconds by which each box lengthens that time, so that the bytes read stay bounded.
  const DIRECTORY_PER_BOX_MS: u64 = 20;
  /// Milliseconds between two reads by a daemon whose neighbours tell it the news. Where that differs from what
  /// it knows, it reads the directory at once; a read brings the entries of the whole fleet.
  const DIRECTORY_REST_MS: u64 = 60_000;
  /// Beats of a neighbour in a row that tell of other boxes than are known here, before the directory is read:
  /// news are on their way for less.
  const MISMATCHES_MAX: u32 = 3;
  /// Milliseconds for which a box may be known by links only: it writes its entry once it takes work.
  const NEWCOMER_MS: u64 = 10_000;
  /// Milliseconds after which a box whose entry left the store is taken as gone. It may have lapsed
  /// in an outage, and then its daemon writes it again within two seconds.
  const LAPSED_GRACE_MS: u64 = 2_500;
  /// Milliseconds after which an entry that lapsed is usually written again by its box: half of the above, so
  /// that a neighbour may still write it in time.
  const REWRITTEN_MS: u64 = Self::LAPSED_GRACE_MS / 2;

  pub(super) fn tick_directory(&mut self) {
    let is_waiting = self.directory_call.is_some() || self.now.time < self.directory_at;
    // In an outage the cheapest call alone tells when it is over.
    if is_waiting || self.failing_since.is_some() {
      return;
    }
    let prefix = keys::directory();
    self.directory_call = Some(self.call_store(StoreRequest::ListStale { prefix }));
  }

  /// Milliseconds until the next read.
  fn directory_pause_ms(&mut self) -> u64 {
    let boxes = self.endpoints.present().count() as u64;
    let is_told = matches!(self.watch, WatchPhase::Resting { .. }) && self.lapsed.is_empty();
    let is_new = self.now.time.since_ms(self.started_at) < Self::DIRECTORY_FIRST_MS;
    let base_ms = if is_new {
      Self::DIRECTORY_FIRST_MS
    } else if self.is_forming() {
      return self.forming_pause_ms();
    } else if self.is_watcher() && !self.is_settling() && self.lapsed.is_empty() {
      return self.until_turn_ms(Self::DIRECTORY_TURN_MS);
    } else if is_told {
      Self::DIRECTORY_REST_MS
    } else {
      Self::DIRECTORY_MS + Self::DIRECTORY_PER_BOX_MS * boxes
    };
    self.rng.random_range(base_ms * 3 / 4..=base_ms * 5 / 4)
  }

  /// Milliseconds until the next read while the fleet forms: the last one comes as it counts as formed, when
  /// neighbours are looked for.
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
      // An outage should not make the directory old for longer than it lasts.
      Err(_) => self.rng.random_range(Self::WATCH_RETRY_MAX_MS..=2 * Self::WATCH_RETRY_MAX_MS),
    };
    self.directory_at = self.now.time.after(pause_ms);
    if let Ok(Reply::Entries { entries, revision }) = result
      && *revision >= self.directory_revision
    {
      let is_first = self.directory_revision == Revision::default();
      self.directory_revision = *revision;
      self.directory_read(entries, *revision);
      self.note_fleet(is_first);
    }
  }

  /// A fleet that was there before this daemon, or did not grow since the last read, is formed.
  fn note_fleet(&mut self, is_first: bool) {
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
      if let Some(service) = rollout::keys::service_of(&entry.key) {
        self.note_rollout(&service, entry);
      }
    }
    for entry in entries.iter().filter(|entry| entry.key.is_under(&keys::endpoints())) {
      let box_id = keys::endpoint_of(&entry.key);
      if let Some(box_id) = &box_id {
        self.listed.insert(box_id.clone());
        self.newcomers.remove(box_id);
        present.insert(box_id.clone());
      }
      match read_endpoint(box_id.as_ref(), &entry.value, self.now.unix_ms) {
        Ok(endpoint) if self.take_news(&endpoint) => fresh.push(endpoint),
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
    self.news_taken(&fresh, None);
  }

  /// An entry was overwritten by another writer. The box that it stood for is taken for lost until it says that
  /// it lives, which it does as soon as it hears of this; then it writes its entry again, once for each read
  /// that finds it spoiled.
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
        self.log("the store lost this box's entry: it is written again");
        self.announce();
      }
      return;
    }
    let now = self.now.time;
    if !self.listed.contains(&box_id) {
      let since = *self.newcomers.entry(box_id.clone()).or_insert(now);
      if now.since_ms(since) < Self::NEWCOMER_MS {
        return;
      }
    }
    // After an outage all entries may have lapsed, and boxes that the store serves write them again themselves.
    let is_still_missing =
      self.lapsed.get(&box_id).is_some_and(|since| now.since_ms(*since) >= Self::REWRITTEN_MS);
    if is_still_missing && self.is_linked_downstream(&box_id) {
      self.keep_entry_of(&box_id);
    }
    if self.lapsed.is_empty() {
      self.directory_at = self.directory_at.min(now.after(Self::REWRITTEN_MS));
    }
    self.lapsed.entry(box_id).or_insert(now);
  }

  /// A neighbour told what boxes it knows. Where that stays different, one of both missed news.
  pub(super) fn compare_boxes(&mut self, link: LinkId, fingerprint: u32) {
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

  /// Takes boxes as gone whose entry did not come back, while the store serves this daemon.
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
      self.newcomers.remove(&box_id);
      let Some(mut endpoint) = self.endpoints.get(&box_id).cloned() else {
        continue;
      };
      endpoint.state = EndpointState::Lost;
      if self.endpoints.merge(now, endpoint.clone()) {
        self.log(format!("box {box_id} is gone: its entry left the store and did not come back"));
        lost.push(endpoint);
      }
    }
    self.news_taken(&lost, None);
  }

  /// Keeps the entry of a box in the store that lives but that the store does not serve.
  pub(super) fn keep_entry_of(&mut self, box_id: &BoxId) {
    let Some(lease) = self.registration.lease().filter(|_| self.failing_since.is_none()) else {
      return;
    };
    let Some(endpoint) = self.endpoints.get(box_id).filter(|one| !one.state.is_gone()) else {
      return;
    };
    let value = to_json(endpoint);
    self.kept_entries.insert(box_id.clone());
    self.log(format!("the entry of box {box_id} is kept for it: it lives, and the store lacks it"));
    let key = keys::endpoint(box_id);
    self.call_store(StoreRequest::Put { key, lease: Some(lease), value });
  }
}

/// How far ahead of this box's clock the clock of another may have been when it started, in milliseconds: a
/// year. An entry beyond that could never be followed by one of the box itself.
const INCARNATION_AHEAD_MAX_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// What an entry says of the box that its key names, or why it says nothing.
fn read_endpoint(box_id: Option<&BoxId>, value: &Value, unix_ms: u64) -> Result<Endpoint, String> {
  let box_id = box_id.ok_or("its key names no box")?;
  let endpoint: Endpoint = value.decode()?;
  if endpoint.peer.box_id != *box_id {
    return Err(format!("it speaks of box {}", endpoint.peer.box_id));
  }
  let is_sane = endpoint.incarnation.0 <= unix_ms.saturating_add(INCARNATION_AHEAD_MAX_MS)
    && endpoint.sequence < u64::from(u32::MAX);
  if is_sane { Ok(endpoint) } else { Err("its life or sequence is beyond any box's".into()) }
}
