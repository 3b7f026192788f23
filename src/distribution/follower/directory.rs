use super::*;

/// The directory: the entries of all daemons in the store.
impl Follower {
  /// Milliseconds between two reads of the directory by a watcher, in a fleet of any size.
  const DIRECTORY_MS: u64 = 2_000;
  /// Milliseconds between the first reads: a fleet that starts at once finds itself that soon.
  const DIRECTORY_FIRST_MS: u64 = 500;
  /// Milliseconds between two reads while the fleet forms.
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
    let prefix = keys::endpoints();
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
      Self::DIRECTORY_FORMING_MS
    } else if self.is_watcher() && !self.is_settling() && self.lapsed.is_empty() {
      return self.until_turn_ms(Self::DIRECTORY_TURN_MS);
    } else if is_told {
      Self::DIRECTORY_REST_MS
    } else {
      Self::DIRECTORY_MS + Self::DIRECTORY_PER_BOX_MS * boxes
    };
    self.rng.random_range(base_ms * 3 / 4..=base_ms * 5 / 4)
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
      let is_first = self.directory_revision == Revision(0);
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
    for entry in entries {
      let Some(box_id) = keys::endpoint_of(&entry.key) else {
        continue;
      };
      self.listed.insert(box_id.clone());
      self.newcomers.remove(&box_id);
      present.insert(box_id);
      match serde_json::from_str::<Endpoint>(&entry.value) {
        Ok(endpoint) if self.take_news(&endpoint) => fresh.push(endpoint),
        Ok(_) => {}
        Err(err) => self.log(format!("the entry {} cannot be read: {err}", entry.key)),
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
    known.mismatches = if differs { known.mismatches + 1 } else { 0 };
    if known.mismatches >= Self::MISMATCHES_MAX {
      known.mismatches = 0;
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
