use super::*;

/// Links between daemons, which bring what the store does not send to this daemon.
impl Follower {
  /// Time, in milliseconds, for which no link is opened to a box after one failed.
  const AVOID_MS: u64 = 3_000;
  /// Interval between two heartbeats of a link, in milliseconds.
  const HEARTBEAT_MS: u64 = 500;
  /// Timeout for opening a link, in milliseconds.
  const CONNECT_MS: u64 = 1_000;
  /// Maximum time, in milliseconds, since a neighbour's last answer from the store for its
  /// knowledge to count as fresh: a watcher's renewal interval, the longest wait for the answer,
  /// and a heartbeat.
  const FRESH_MS: u64 = 2_300;
  /// Number of neighbours that a daemon subscribes to; one of them may fail.
  const NEIGHBOURS: usize = 2;
  /// Time without a message, in milliseconds, after which a neighbour counts as gone: two
  /// heartbeats, and a late one.
  pub(super) const SILENCE_MS: u64 = 1_300;
  /// Time, in milliseconds, without an answer from the store after which a neighbour is replaced by
  /// another one.
  const STALE_MS: u64 = 4_000;

  pub(super) fn tick_neighbours(&mut self) {
    let now = self.now.time;
    self.connecting.retain(|_, since| now.since_ms(*since) < Self::CONNECT_MS);
    self.avoided.retain(|_, until| now < *until);
    self.close_silent_links();
    self.catch_up();
    if self.is_forming() {
      // Offers are accepted, but no neighbours are selected yet.
    } else if self.needs_neighbours() {
      self.find_neighbour();
    } else if !self.is_watcher() {
      self.prefer_watchers();
      self.find_neighbour();
    } else {
      self.subscribe_to_next_watcher();
    }
    if now.since_ms(self.heartbeat_sent_at) >= Self::HEARTBEAT_MS {
      self.heartbeat_sent_at = now;
      if self.endpoints.expire(now) {
        self.act(Action::EndpointsChanged);
      }
      self.send_heartbeats();
    }
  }

  fn send_heartbeat(&mut self, link: LinkId) {
    let heartbeat = Heartbeat {
      applied_unix_ms: None,
      endpoints_fingerprint: self.endpoints.fingerprint(),
      era: self.era.unwrap_or_default(),
      is_relay: self.is_served_watcher(),
      revision: self.watch_revision().filter(|_| self.is_served_watcher()),
      store_age_ms: self.own_store_age_ms(),
      version: self.catalog.held(),
    };
    self.send(link, Message::Heartbeat(heartbeat));
  }

  /// Whether this daemon currently watches the store, and the store serves it.
  fn is_served_watcher(&self) -> bool {
    self.failing_since.is_none() && !matches!(self.watch, WatchPhase::Idle { .. })
  }

  /// Milliseconds since the store confirmed the held version; `None` if this daemon does not watch
  /// the store itself. Knowledge from neighbours is not passed on as fresh: otherwise two daemons
  /// could consider each other fresh although neither asks the store.
  fn own_store_age_ms(&self) -> Option<u64> {
    let confirmed_at = self.confirmed_at.filter(|_| self.is_served_watcher());
    confirmed_at.map(|at| self.now.time.since_ms(at))
  }

  /// Sends a heartbeat on every link, which states how fresh this daemon's knowledge is.
  pub(super) fn send_heartbeats(&mut self) {
    let links: Vec<LinkId> = self.links.keys().copied().collect();
    for link in links {
      self.send_heartbeat(link);
    }
  }

  /// Whether a neighbour that this daemon subscribes to had a recent answer from the store.
  pub(super) fn has_fresh_neighbour(&self) -> bool {
    let now = self.now.time;
    self.links.values().any(|link| {
      let age_ms = link.store_age_ms.map(|age_ms| age_ms + now.since_ms(link.last_received_at));
      let is_source = link.role == LinkRole::Upstream && link.is_relay;
      is_source && age_ms.is_some_and(|age_ms| age_ms <= Self::FRESH_MS)
    })
  }

  fn close_silent_links(&mut self) {
    let now = self.now.time;
    let silent: Vec<LinkId> = self
      .links
      .iter()
      .filter(|(_, link)| now.since_ms(link.last_received_at) > Self::SILENCE_MS)
      .map(|(id, _)| *id)
      .collect();
    for link in silent {
      self.close_link(link);
    }
  }

  pub(super) fn close_link(&mut self, link: LinkId) {
    self.act(Action::CloseLink { link });
    self.link_closed(link);
  }

  /// Opens a link to the best box that is not linked yet: preferably a watcher of the own data
  /// hall, then another box of it, then any box of another data hall.
  fn find_neighbour(&mut self) {
    if self.connecting.len() + self.upstreams().len() >= Self::NEIGHBOURS {
      return;
    }
    let linked: BTreeSet<&BoxId> = self.links.values().map(|link| &link.peer).collect();
    let is_free = |peer: &&Peer| {
      let box_id = &peer.box_id;
      *box_id != self.own.peer.box_id
        && !linked.contains(box_id)
        && !self.connecting.contains_key(box_id)
        && !self.avoided.contains_key(box_id)
    };
    let others: Vec<&Peer> =
      self.endpoints.present().map(|endpoint| &endpoint.peer).filter(is_free).collect();
    // A daemon that the store does not serve prefers other data halls: the whole own data hall may
    // be cut off from the store.
    let is_cut_off = self.failing_since.is_some();
    let rank = |peer: &Peer| {
      let is_far = peer.data_hall != self.own.peer.data_hall;
      (is_far != is_cut_off, !self.watchers.is_in_own_hall(&peer.box_id))
    };
    let Some(best) = others.iter().map(|peer| rank(peer)).min() else {
      return;
    };
    let best: Vec<&Peer> = others.into_iter().filter(|peer| rank(peer) == best).collect();
    if let Some(peer) = best.choose(&mut self.rng).map(|peer| (*peer).clone()) {
      self.connecting.insert(peer.box_id.clone(), self.now.time);
      self.act(Action::OpenLink(peer));
    }
  }

  /// Closes the link to a neighbour that is not a watcher of the own data hall if such a watcher is
  /// available.
  fn prefer_watchers(&mut self) {
    let linked: BTreeSet<&BoxId> = self.links.values().map(|link| &link.peer).collect();
    let is_free = |box_id: &&BoxId| {
      !linked.contains(box_id)
        && !self.connecting.contains_key(*box_id)
        && !self.avoided.contains_key(*box_id)
    };
    if self.upstreams().len() < Self::NEIGHBOURS
      || !self.watchers.own_hall_watchers().any(|one| is_free(&one))
    {
      return;
    }
    let other = self.links.iter().find(|(_, link)| {
      link.role == LinkRole::Upstream && !self.watchers.is_in_own_hall(&link.peer)
    });
    if let Some(link) = other.map(|(id, _)| *id) {
      self.close_link(link);
    }
  }

  pub(super) fn upstreams(&self) -> Vec<LinkId> {
    let upstreams = self.links.iter().filter(|(_, link)| link.role == LinkRole::Upstream);
    upstreams.map(|(id, _)| *id).collect()
  }

  pub(super) fn link_opened(&mut self, link: LinkId, outbound: bool, peer: &BoxId) {
    let is_reconnect = outbound && self.is_reconnect(peer);
    self.links.insert(link, Link::new(self.now.time, peer.clone(), LinkRole::Pending));
    if is_reconnect {
      self.send_heartbeat(link);
    } else if outbound {
      self.connecting.remove(peer);
      self.subscribe(link);
    }
  }

  /// Subscribes to the configuration and the endpoints of the neighbour at the other end of a link.
  fn subscribe(&mut self, link: LinkId) {
    if let Some(known) = self.links.get_mut(&link) {
      known.role = LinkRole::Upstream;
    }
    let subscribe = Subscribe {
      applied_unix_ms: 0,
      accepts_any_daemon: true,
      endpoint: self.own.clone(),
      endpoints_fingerprint: self.endpoints.fingerprint(),
      relay: false,
      version: self.catalog.held(),
    };
    self.send(link, Message::Subscribe(Box::new(subscribe)));
    self.send_evacuations_to(link);
    self.send_rollouts_to(link);
  }

  pub(super) fn link_failed(&mut self, box_id: &BoxId) {
    if self.reconnect_failed(box_id) {
      return;
    }
    self.connecting.remove(box_id);
    self.avoided.insert(box_id.clone(), self.now.time.after(Self::AVOID_MS));
  }

  pub(super) fn link_closed(&mut self, link: LinkId) {
    let Some(closed) = self.links.remove(&link) else {
      return;
    };
    if closed.role == LinkRole::Upstream {
      self.avoided.insert(closed.peer.clone(), self.now.time.after(Self::AVOID_MS));
    }
    if !self.is_linked_downstream(&closed.peer) && self.entries_for_others.remove(&closed.peer) {
      self.call_store(StoreRequest::Delete { key: keys::endpoint(&closed.peer) });
    }
  }

  pub(super) fn is_linked_downstream(&self, box_id: &BoxId) -> bool {
    let mut downstream = self.links.values().filter(|link| link.role == LinkRole::Downstream);
    downstream.any(|link| link.peer == *box_id)
  }

  pub(super) fn received(&mut self, link: LinkId, message: Message) {
    let now = self.now.time;
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.last_received_at = now;
    match message {
      Message::Answer { asked, id, reports } => {
        self.inquiries.answered(id, link, asked, reports);
      }
      Message::Ask { hops: _, id, question } => self.neighbour_asked(link, id, &question),
      Message::Heartbeat(heartbeat) => self.heartbeat_received(link, &heartbeat),
      Message::Evacuations(received) => self.take_evacuations(&received, Some(link)),
      Message::Evidence(received) => self.evidence_received(Some(link), received),
      Message::Endpoints(endpoints) => self.endpoints_received(link, &endpoints),
      Message::Refused { reason } => self.update_refused(link, &reason),
      Message::Rollout(update) => self.rollout_received(link, &update),
      Message::Subscribe(subscribe) => self.subscription_requested(link, &subscribe),
      Message::Update(update) => self.update_received(link, &update),
      Message::Accepted { version } => self.version_announced(link, version),
      Message::Redirect { .. } | Message::Relays(_) | Message::Welcome { .. } => {}
    }
  }

  fn subscription_requested(&mut self, link: LinkId, subscribe: &Subscribe) {
    if let Some(known) = self.links.get_mut(&link) {
      known.role = LinkRole::Downstream;
      known.version = subscribe.version;
    }
    if self.endpoints.fingerprint() != subscribe.endpoints_fingerprint {
      let present: Vec<Endpoint> = self.endpoints.present().cloned().collect();
      self.send(link, Message::Endpoints(present));
    }
    self.endpoints_received(link, std::slice::from_ref(&subscribe.endpoint));
    self.send_evacuations_to(link);
    self.push_update(link);
    self.announce_refused_to(link);
    self.send_rollouts_to(link);
    self.send_heartbeat(link);
    if self.lapsed.contains_key(&subscribe.endpoint.peer.box_id) {
      self.write_entry_for(&subscribe.endpoint.peer.box_id);
    }
  }

  fn heartbeat_received(&mut self, link: LinkId, heartbeat: &Heartbeat) {
    if heartbeat.era > self.era.unwrap_or_default() {
      self.note_era(heartbeat.era);
    }
    let now = self.now.time;
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.version = heartbeat.version.max(known.version);
    known.store_age_ms = heartbeat.store_age_ms;
    let is_new = now.since_ms(known.opened_at) < Self::SILENCE_MS;
    let is_served_again = heartbeat.is_relay && !known.is_relay && !is_new;
    known.is_relay = heartbeat.is_relay;
    if is_served_again && known.role == LinkRole::Upstream {
      // The store was unreachable: this box's lease may have expired meanwhile, and its entry must
      // be back soon.
      self.registration.renew_at_once();
    }
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    let is_offer = known.role == LinkRole::Pending && heartbeat.version.is_some();
    if is_offer && self.catalog.version().is_none() {
      self.log("a former neighbour offers its configuration: subscribing to it");
      return self.subscribe(link);
    }
    let Some(known) = self.links.get(&link).filter(|known| known.role == LinkRole::Upstream) else {
      return;
    };
    let is_known_long = now.since_ms(known.opened_at) > Self::STALE_MS;
    self.compare_fingerprints(link, heartbeat.endpoints_fingerprint);
    let held = heartbeat.version.map(|(version, _)| version);
    if let Some(version) = held {
      self.note_newer(version);
    }
    if held <= self.catalog.version() {
      self.advance_to(heartbeat.revision);
    }
    // A watcher trusts only its own watch: watchers subscribe to each other, and would otherwise
    // consider each other fresh.
    if let Some(age_ms) = heartbeat.store_age_ms
      && held <= self.catalog.version()
      && !self.is_served_watcher()
    {
      let at = Time(now.0.saturating_sub(age_ms));
      self.confirmed_at = self.confirmed_at.max(Some(at));
    }
    let is_stale = heartbeat.store_age_ms.is_none_or(|age_ms| age_ms > Self::STALE_MS);
    if is_stale && is_known_long {
      self.close_link(link);
    }
  }

  fn endpoints_received(&mut self, link: LinkId, endpoints: &[Endpoint]) {
    let mut fresh = Vec::new();
    for endpoint in endpoints {
      if self.merge_endpoint(endpoint) {
        fresh.push(endpoint.clone());
      }
      // Another box found the entry missing, but this box is alive; its reply is written for it.
      let box_id = &endpoint.peer.box_id;
      if endpoint.state == EndpointState::Lost && self.is_linked_downstream(box_id) {
        self.entries_for_others.insert(box_id.clone());
      }
    }
    let entries_for_others: Vec<BoxId> = fresh
      .iter()
      .map(|endpoint| endpoint.peer.box_id.clone())
      .filter(|box_id| self.entries_for_others.contains(box_id))
      .collect();
    for box_id in entries_for_others {
      self.write_entry_for(&box_id);
    }
    self.endpoints_merged(&fresh, Some(link));
  }
}
