use super::*;

/// Acquires relay slots and watches the store.
impl Distributor {
  pub(super) fn tick_election(&mut self) {
    let hall = self.hall();
    let wanted = Relays::slot_count(hall.boxes);
    let has_room = self.relays.free_slot(&hall.own.data_hall, wanted).is_some();
    let vacant =
      self.own.state != EndpointState::Leaving && (has_room || !self.is_served_by_relay());
    let call = self.next_call();
    let step = self.election.tick(self.now.time, vacant, call, &hall, &mut self.rng);
    self.apply_election_steps(step.into_iter().collect());
  }

  /// Whether this daemon is a relay, or subscribes to a daemon that reports to be one. The list of
  /// relays may be outdated, so it does not prove that a relay still exists.
  pub(super) fn is_served_by_relay(&self) -> bool {
    let upstream = self.upstream.link().and_then(|link| self.links.get(&link));
    self.is_relay() || upstream.is_some_and(|link| link.is_relay)
  }

  fn hall(&self) -> Hall {
    Hall {
      boxes: self.data_hall_size(),
      lease_ttl_ms: self.identity.timing.lease_ttl_ms,
      own: self.own.peer.clone(),
    }
  }

  fn apply_election_steps(&mut self, steps: Vec<Step>) {
    for step in steps {
      match step {
        Step::Call(request) => self.call_store(request),
        Step::Lost(slot) => self.resign_relay(&slot),
        Step::RelaysListed(entries) => self.relays_listed(&entries),
        Step::Won(slot) => self.become_relay(slot),
      }
    }
  }

  fn relays_listed(&mut self, entries: &[Entry]) {
    let own = self.own.peer.data_hall.clone();
    self.relays.0.retain(|(slot, _)| slot.data_hall != own);
    for entry in entries {
      let peer = entry.value.decode().ok();
      if let Some(slot) = keys::slot_of(&entry.key) {
        self.relays.set(slot, peer);
      }
    }
    let has_relay = self.relays.of(&own).next().is_some();
    if has_relay && self.upstream.link().is_some() && !self.is_served_by_relay() {
      self.drop_upstream();
    }
  }

  fn become_relay(&mut self, slot: RelaySlot) {
    self.log(format!("this box holds relay slot {slot}"));
    let former = self.upstream.link();
    self.relays.set(slot, Some(self.own.peer.clone()));
    self.own.relay = Some(self.own.peer.box_id.clone());
    self.upstream.reset();
    if let Some(link) = former {
      self.set_role(link, LinkRole::Mesh);
      self.subscribe(link);
    }
    self.announce();
    self.send_relays();
    self.announce_relay();
  }

  pub(super) fn resign_relay(&mut self, slot: &RelaySlot) {
    self.log(format!("this box no longer holds relay slot {slot}"));
    self.watcher.reset();
    self.relays.set(slot.clone(), None);
    self.redirect_subscribers();
    let mesh: Vec<LinkId> = self.established_links(LinkRole::Mesh).map(|(id, _)| id).collect();
    for link in mesh {
      self.close_link(link);
    }
  }

  pub(super) fn tick_watcher(&mut self) {
    if !self.is_relay() {
      return;
    }
    let call = self.next_call();
    if let Some(request) = self.watcher.tick(self.now.time, call) {
      self.call_store(request);
    }
  }

  /// Handles that the store has a newer version. A relay reads it, because its watch may have
  /// skipped the change. A subscriber passes it on to its relay.
  pub(super) fn newer_version_accepted(&mut self, version: Version, from: Option<LinkId>) {
    if self.catalog.version() >= Some(version) {
      return;
    }
    if self.is_relay() {
      let call = self.next_call();
      if let Some(request) = self.watcher.reread(call, version) {
        self.call_store(request);
      }
      return;
    }
    if let Some(upstream) = self.upstream.link().filter(|upstream| Some(*upstream) != from) {
      self.send(upstream, Message::Accepted { version });
    }
  }

  pub(super) fn store_answered(&mut self, call: u64, result: &store::Result<Reply>) {
    let next_call = self.next_call();
    let hall = self.hall();
    let steps = self.election.answered(self.now.time, call, result, next_call, &hall);
    if let Some(steps) = steps {
      self.apply_election_steps(steps);
      return;
    }
    let answered = self.watcher.answered(self.now.time, call, result, next_call, &mut self.rng);
    if let Some((seen, request)) = answered {
      if let Some(request) = request {
        self.call_store(request);
      }
      self.watch_result_received(seen);
    }
  }

  fn watch_result_received(&mut self, seen: WatchResult) {
    if seen.listed {
      self.relays = Relays::default();
    }
    let relays_changed = !seen.relays.is_empty();
    for (slot, peer) in seen.relays {
      self.relays.set(slot, peer);
    }
    if relays_changed {
      self.send_relays();
    }
    if let Some(configuration) = seen.snapshot {
      self.snapshot_received(configuration);
    }
    if seen.listed || seen.head {
      self.apply_head();
    }
    if seen.confirmed {
      let newest = self.watcher.head().map_or(Version(0), |head| head.version);
      self.check_store_version(newest);
      self.confirm(newest, 0);
    }
  }

  /// Records whether the store is behind this box: it was restored from a backup or lost its
  /// content.
  fn check_store_version(&mut self, newest: Version) {
    let behind = self.catalog.version().is_some_and(|held| newest < held).then_some(newest);
    if behind.is_some() && behind != self.store_behind {
      self.log(format!("the store's newest version {newest} is behind this box"));
    }
    self.store_behind = behind;
  }

  /// Applies the store's newest version: by the changes since the held version if the head has all
  /// of them, else by the snapshot.
  pub(super) fn apply_head(&mut self) {
    let is_fresh = self.catalog.version().is_none();
    if !self.is_relay_that_listed() || (is_fresh && !self.is_floor_known()) {
      return;
    }
    let Some(head) = self.watcher.head().cloned() else {
      self.apply_empty_configuration();
      return;
    };
    let held = self.catalog.version();
    if held.is_some_and(|held| held >= head.version) {
      return;
    }
    let Some(base) = held.filter(|held| contains_changes_since(&head, *held)) else {
      self.read_snapshot();
      return;
    };
    let Some(base_digest) = self.catalog.digest() else {
      return;
    };
    let changes = head.tail.into_iter().filter(|change| change.version() > base).collect();
    if !self.apply_store_update(Update::Delta { base, base_digest, changes }) {
      // The held version may differ from the store's version of that number. The snapshot repairs
      // that.
      self.read_snapshot();
    }
  }

  /// Whether this daemon is a relay that has listed the whole store.
  pub(super) fn is_relay_that_listed(&self) -> bool {
    self.is_relay() && self.watcher.is_listed()
  }

  /// Applies the empty configuration, which a store without any version stands for.
  fn apply_empty_configuration(&mut self) {
    if self.catalog.version().is_some() {
      return;
    }
    let configuration = Arc::new(Configuration::default());
    let digest = configuration.digest();
    let (changes, history) = (Vec::new(), Vec::new());
    self.apply_store_update(Update::Snapshot { changes, configuration, digest, history });
  }

  fn snapshot_received(&mut self, configuration: Configuration) {
    let Some(head) = self.watcher.head().cloned() else {
      return;
    };
    let held = self.catalog.version();
    let newer = held.is_none_or(|held| held < head.version);
    if configuration.version != head.snapshot_version || !newer {
      return;
    }
    let is_before = |summary: &&ChangeSummary| summary.version <= head.snapshot_version;
    self.apply_store_update(Update::Snapshot {
      changes: head.changes_since_snapshot().cloned().collect(),
      configuration: Arc::new(configuration),
      digest: head.snapshot_digest,
      history: head.history.iter().filter(is_before).cloned().collect(),
    });
  }

  fn read_snapshot(&mut self) {
    let call = self.next_call();
    if let Some(request) = self.watcher.read_snapshot(call) {
      self.call_store(request);
    }
  }

  /// Applies an update from the store. Returns whether it was valid.
  fn apply_store_update(&mut self, update: Update) -> bool {
    match self.catalog.apply_update(update, None, self.now.unix_ms) {
      Ok(()) => {
        self.version_applied();
        true
      }
      Err(err) => {
        self.log(format!("an update from the store was refused: {err}"));
        false
      }
    }
  }
}

/// Whether the head contains all changes after `base`.
fn contains_changes_since(head: &Head, base: Version) -> bool {
  match head.tail.first() {
    Some(first) => base.next() >= first.version(),
    None => base >= head.snapshot_version,
  }
}
