use super::*;

/// Propagates newer versions from neighbour to neighbour.
impl Follower {
  /// Time, in milliseconds, for which a daemon waits for a version that a neighbour holds.
  const BEHIND_MS: u64 = 500;
  /// Maximum time, in milliseconds, for which updates may saturate a box's link: a small part of
  /// the time allowed for a change.
  const PUSH_MAX_MS: usize = 300;

  /// Fetches a newer version that a neighbour holds and that got lost or takes too long: reads the
  /// store, or requests the whole configuration from the neighbour if the store cannot provide it.
  pub(super) fn catch_up(&mut self) {
    let held = self.catalog.version();
    let ahead = self.links.iter().find(|(_, link)| {
      link.role == LinkRole::Upstream && link.version.map(|(version, _)| version) > held
    });
    let Some(link) = ahead.map(|(id, _)| *id) else {
      self.behind_since = None;
      return;
    };
    let now = self.now.time;
    let since = *self.behind_since.get_or_insert(now);
    if now.since_ms(since) < Self::BEHIND_MS || matches!(self.watch, WatchPhase::Listing { .. }) {
      return;
    }
    self.behind_since = None;
    self.log("a neighbour holds a newer version that did not arrive: requesting it");
    let offered = self.links.get(&link).and_then(|known| known.version);
    if offered.is_some_and(|(version, _)| self.needs_neighbours_for(version)) {
      let reason = "the update did not arrive".to_string();
      return self.send(link, Message::Refused { reason });
    }
    self.read_configuration(false);
  }

  /// Whether the store cannot bring this daemon forward: it does not answer, or its content was
  /// refused.
  pub(super) fn needs_neighbours(&self) -> bool {
    self.failing_since.is_some() || self.refused.is_some()
  }

  /// Announces a version that was refused here to the subscribers. They may be able to read it, and
  /// must not answer for routes as if it did not exist.
  pub(super) fn announce_refused(&mut self) {
    let is_subscriber = |link: &Link| link.role == LinkRole::Downstream;
    let subscribers = self.links.iter().filter(|(_, link)| is_subscriber(link));
    let subscribers: Vec<LinkId> = subscribers.map(|(id, _)| *id).collect();
    for link in subscribers {
      self.announce_refused_to(link);
    }
  }

  pub(super) fn announce_refused_to(&mut self, link: LinkId) {
    if let Some(version) = self.refused.as_ref().and_then(|refused| refused.version) {
      self.send(link, Message::Accepted { version });
    }
  }

  /// Whether only neighbours can bring a version. A version later than the refused one may be
  /// readable.
  fn needs_neighbours_for(&self, version: Version) -> bool {
    let refused = self.refused.as_ref();
    let is_refused =
      |refused: &RefusedVersion| refused.version.is_none_or(|known| version <= known);
    self.failing_since.is_some() || refused.is_some_and(is_refused)
  }

  /// Records that a version exists.
  pub(super) fn note_newer(&mut self, version: Version) {
    if version <= self.newest_known || Some(version) <= self.catalog.version() {
      return;
    }
    self.newest_known = version;
    self.act(Action::NewerVersionKnown(version));
  }

  pub(super) fn update_received(&mut self, link: LinkId, packed: &PackedUpdate) {
    if Some(packed.version()) <= self.catalog.version() {
      return;
    }
    let from = self.links.get(&link).map(|link| link.peer.clone());
    let taken =
      packed.unpack().and_then(|update| self.catalog.apply_update(update, from, self.now.unix_ms));
    match taken {
      Ok(()) => {
        self.note_watch_lag();
        self.publish_configuration();
      }
      Err(Error::Backwards { .. }) => {}
      Err(err) => {
        self.log(format!("an update was refused: {err}"));
        self.send(link, Message::Refused { reason: err.to_string() });
      }
    }
  }

  /// Sends the whole configuration, but not repeatedly, to a neighbour that could not apply an
  /// update.
  pub(super) fn update_refused(&mut self, link: LinkId, reason: &str) {
    self.log(format!("a neighbour refused an update: {reason}"));
    let now = self.now.time;
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    if known.snapshot_sent_at.is_some_and(|at| now.since_ms(at) < Self::SILENCE_MS) {
      return;
    }
    known.snapshot_sent_at = Some(now);
    if let Some(update) = self.catalog.packed_for(None) {
      self.send(link, Message::Update(update));
    }
  }

  /// Applies a newer version and sends it to the neighbours that lack it.
  pub(super) fn publish_configuration(&mut self) {
    let Some(configuration) = self.catalog.configuration().cloned() else {
      return;
    };
    let held = configuration.version;
    // A refused value without a version precedes any version after the one held at its refusal. A
    // box that starts receives the version that was in force then only afterwards.
    self.refused.take_if(|refused| match refused.version {
      Some(version) => version <= held,
      None => refused.held.replace(held).is_some(),
    });
    self.act(Action::Apply(configuration));
    let links: Vec<LinkId> = self.links.keys().copied().collect();
    for link in links {
      self.push_update(link);
    }
  }

  pub(super) fn push_update(&mut self, link: LinkId) {
    let now = self.now.time;
    let Some((version, known)) = self.catalog.version().zip(self.links.get_mut(&link)) else {
      return;
    };
    if known.role != LinkRole::Downstream || !known.needs_update(now, version, Self::SILENCE_MS) {
      return;
    }
    known.sent = Some((version, now));
    // The neighbour will hold what is in transit, so the next update builds on that.
    let held = known.version_after_sent.max(known.version);
    let Some(update) = self.catalog.packed_for(held) else {
      return;
    };
    if self.is_too_large(&update) {
      return self.send(link, Message::Accepted { version });
    }
    if let Some(known) = self.links.get_mut(&link) {
      known.version_after_sent = self.catalog.held();
    }
    self.send(link, Message::Update(update));
  }

  /// Whether an update, sent to all that need it, would saturate this box's link for too long. They
  /// read the store instead, whose link is large.
  fn is_too_large(&self, update: &PackedUpdate) -> bool {
    if self.own.link_mbps == 0 {
      return false;
    }
    let sharers = self.links.values().filter(|link| link.role == LinkRole::Downstream).count();
    let bytes_per_ms = usize::try_from(self.own.link_mbps).unwrap_or(usize::MAX) * 125;
    update.size_bytes() * sharers > bytes_per_ms * Self::PUSH_MAX_MS
  }

  /// Handles the announcement of a version that the neighbour does not send itself.
  pub(super) fn version_announced(&mut self, link: LinkId, version: Version) {
    if self.catalog.version() >= Some(version) {
      return;
    }
    self.note_newer(version);
    if self.needs_neighbours_for(version) {
      let reason = "the store cannot bring it here".to_string();
      return self.send(link, Message::Refused { reason });
    }
    // A pending read may return an older version; the neighbour's next heartbeat will show it.
    if !matches!(self.watch, WatchPhase::Listing { .. }) {
      self.read_configuration(false);
    }
  }
}
