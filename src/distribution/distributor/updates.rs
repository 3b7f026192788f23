use super::*;

/// Exchanges heartbeats and configuration updates with neighbours.
impl Distributor {
  /// Milliseconds that other relays get to read a new version from the store before it is sent to
  /// them.
  const MESH_PUSH_DELAY_MS: u64 = 300;
  /// Invalid updates on one link after which another daemon is subscribed to.
  const INVALID_UPDATES_MAX: u32 = 2;

  fn heartbeat(&self) -> Heartbeat {
    let is_new = self.now.time.since_ms(self.applied_at) < 2 * self.identity.timing.heartbeat_ms;
    Heartbeat {
      applied_unix_ms: is_new.then(|| self.applied_unix_ms()),
      endpoints_fingerprint: self.endpoints.fingerprint(),
      era: Era::default(),
      is_relay: self.is_relay(),
      revision: None,
      store_age_ms: self.store_age_ms(),
      version: self.catalog.held(),
    }
  }

  /// Milliseconds since the store last confirmed the held version.
  pub(super) fn store_age_ms(&self) -> Option<u64> {
    self.confirmed_at.map(|at| self.now.time.since_ms(at))
  }

  pub(super) fn send_heartbeats(&mut self, to: impl Fn(&Link) -> bool) {
    let heartbeat = self.heartbeat();
    let links: Vec<LinkId> = self
      .links
      .iter()
      .filter(|(_, link)| link.is_established() && to(link))
      .map(|(id, _)| *id)
      .collect();
    for link in links {
      self.send(link, Message::Heartbeat(heartbeat.clone()));
    }
  }

  pub(super) fn heartbeat_received(&mut self, link: LinkId, heartbeat: &Heartbeat) {
    self.record_version(link, heartbeat.version);
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.applied_unix_ms = heartbeat.applied_unix_ms.unwrap_or(known.applied_unix_ms);
    known.is_relay = heartbeat.is_relay;
    known.store_age_ms = heartbeat.store_age_ms;
    let role = known.role;
    let peer = known.peer.clone();
    if self.upstream.link() == Some(link) {
      self.upstream.reset_failures();
    }
    self.compare_endpoints(link, heartbeat.endpoints_fingerprint);
    let Some((version, prefix)) = heartbeat.version else {
      return;
    };
    if self.catalog.held().is_some_and(|held| held.0 == version && held.1 != prefix) {
      self.log(format!("box {peer} holds version {version} with other content"));
      return;
    }
    let is_source = matches!(role, LinkRole::Mesh | LinkRole::Upstream);
    if let Some(age_ms) = heartbeat.store_age_ms.filter(|_| is_source) {
      self.confirm(version, age_ms);
    }
  }

  /// Records that `version` was the store's newest one `age_ms` milliseconds ago.
  pub(super) fn confirm(&mut self, version: Version, age_ms: u64) {
    if self.catalog.version() != Some(version) {
      return;
    }
    let at = Time(self.now.time.0.saturating_sub(age_ms));
    self.confirmed_at = self.confirmed_at.max(Some(at));
  }

  pub(super) fn record_version(&mut self, link: LinkId, version: Option<(Version, u32)>) {
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.version = version;
    if let Some((version, _)) = version {
      known.refusal = known.refusal.take().filter(|_| Some(version) < self.catalog.version());
      let record = self.known_versions.entry(known.peer.clone()).or_default();
      *record = version.max(*record);
    }
  }

  pub(super) fn record_applied(&mut self, link: LinkId, unix_ms: u64) {
    if let Some(link) = self.links.get_mut(&link) {
      link.applied_unix_ms = unix_ms;
    }
  }

  /// Unpacks and handles an update from a neighbour.
  pub(super) fn packed_update_received(&mut self, link: LinkId, packed: &PackedUpdate) {
    match packed.unpack() {
      Ok(update) => self.update_received(link, update),
      Err(err) => self.reject_update(link, &err),
    }
  }

  /// Applies an update from a neighbour, or defers it while the floor is unknown.
  pub(super) fn update_received(&mut self, link: LinkId, update: Update) {
    let fresh = self.catalog.version().is_none();
    if fresh && !self.is_floor_known() {
      let early = self.floor_discovery.deferred_update.as_ref().map(|(_, early)| early.version());
      if early.is_none_or(|early| update.version() > early) {
        self.floor_discovery.deferred_update = Some((link, update));
      }
      return;
    }
    let from = self.links.get(&link).map(|link| link.peer.clone());
    match self.catalog.apply_update(update, from, self.now.unix_ms) {
      Ok(()) => {
        // The sender holds this version: do not send it back.
        self.record_version(link, self.catalog.held());
        self.version_applied();
      }
      Err(Error::Backwards { .. }) => {}
      Err(err) => self.reject_update(link, &err),
    }
  }

  /// Rejects an invalid update and reports it to the sender. Leaves the sender if that repeats.
  fn reject_update(&mut self, link: LinkId, err: &Error) {
    self.log(format!("an update was refused: {err}"));
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.invalid_updates += 1;
    if known.invalid_updates >= Self::INVALID_UPDATES_MAX && self.upstream.link() == Some(link) {
      self.drop_upstream();
      return;
    }
    self.send(link, Message::Refused { reason: err.to_string() });
  }

  /// Sends a snapshot to a neighbour that refused an update, at most once per resend interval.
  pub(super) fn refusal_received(&mut self, link: LinkId, reason: String) {
    let resend_ms = self.resend_ms();
    let now = self.now.time;
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.refusal = Some(reason);
    let is_due = known.snapshot_sent_at.is_none_or(|at| now.since_ms(at) >= resend_ms);
    let Some(update) = self.catalog.packed_for(None).filter(|_| is_due) else {
      return;
    };
    known.snapshot_sent_at = Some(now);
    known.sent = Some((update.version(), now));
    self.send(link, Message::Update(update));
  }

  /// Handles a newly applied version: sends heartbeats upstream and schedules updates to
  /// neighbours.
  pub(super) fn version_applied(&mut self) {
    let Some(configuration) = self.catalog.configuration().cloned() else {
      return;
    };
    self.push_action(Action::Apply(configuration));
    self.applied_at = self.now.time;
    self.push_due = Some(self.now.time.after(self.identity.timing.update_delay_ms));
    self.send_heartbeats(|link| link.role != LinkRole::Downstream);
    if self.identity.timing.update_delay_ms == 0 {
      self.push_updates();
    }
  }

  /// Sends the newest version to every neighbour that lacks it, once it is due.
  pub(super) fn push_updates(&mut self) {
    if self.push_due.is_some_and(|due| self.now.time < due) {
      return;
    }
    let Some(version) = self.catalog.version() else {
      return;
    };
    if self.push_due.take().is_some() {
      self.mesh_push_at = self.now.time.after(Self::MESH_PUSH_DELAY_MS);
    }
    let resend_ms = self.resend_ms();
    let now = self.now.time;
    let mesh_due = now >= self.mesh_push_at;
    let wants = |link: &Link| {
      (link.role != LinkRole::Mesh || mesh_due) && link.needs_update(now, version, resend_ms)
    };
    let links: Vec<LinkId> =
      self.links.iter().filter(|(_, link)| wants(link)).map(|(id, _)| *id).collect();
    for link in links {
      self.push_update(link);
    }
  }

  pub(super) fn push_update(&mut self, link: LinkId) {
    let resend_ms = self.resend_ms();
    let now = self.now.time;
    let Some((version, known)) = self.catalog.version().zip(self.links.get_mut(&link)) else {
      return;
    };
    if !known.needs_update(now, version, resend_ms) {
      return;
    }
    known.sent = Some((version, now));
    let held = known.version;
    if let Some(update) = self.catalog.packed_for(held) {
      self.send(link, Message::Update(update));
    }
  }

  fn resend_ms(&self) -> u64 {
    2 * self.identity.timing.heartbeat_ms
  }
}
