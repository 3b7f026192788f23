use super::*;

/// Links between daemons: what the store does not tell this daemon, neighbours do.
impl Follower {
  /// Milliseconds between two beats of a link: two are missed before a neighbour is replaced.
  const BEAT_MS: u64 = 1_000;
  /// Milliseconds for which opening a link may take.
  const CONNECT_MS: u64 = 1_000;
  /// Neighbours that a daemon subscribes to which the store does not serve, so that one may fail.
  const NEIGHBOURS: usize = 2;
  /// Milliseconds without a word after which a neighbour counts as gone.
  const SILENCE_MS: u64 = 2_500;
  /// Milliseconds between two tries at a neighbour.
  const TRY_MS: u64 = 200;

  pub(super) fn tick_neighbours(&mut self) {
    let now = self.now.time;
    self.connecting.retain(|_, since| now.since_ms(*since) < Self::CONNECT_MS);
    self.close_silent_links();
    if self.failing_since.is_some() {
      self.find_neighbour();
    } else {
      self.leave_neighbours();
    }
    if now.since_ms(self.beat_at) >= Self::BEAT_MS {
      self.beat_at = now;
      self.endpoints.expire(now);
      let links: Vec<LinkId> = self.links.keys().copied().collect();
      for link in links {
        self.send_beat(link);
      }
    }
  }

  fn send_beat(&mut self, link: LinkId) {
    let beat = Beat {
      applied_unix_ms: None,
      endpoints: self.endpoints.fingerprint(),
      is_relay: false,
      store_age_ms: self.confirmed_at.map(|at| self.now.time.since_ms(at)),
      version: self.catalog.held(),
    };
    self.send(link, Message::Beat(beat));
  }

  fn close_silent_links(&mut self) {
    let now = self.now.time;
    let silent: Vec<LinkId> = self
      .links
      .iter()
      .filter(|(_, link)| now.since_ms(link.heard_at) > Self::SILENCE_MS)
      .map(|(id, _)| *id)
      .collect();
    for link in silent {
      self.close_link(link);
    }
  }

  fn close_link(&mut self, link: LinkId) {
    self.act(Action::CloseLink { link });
    self.link_closed(link);
  }

  fn find_neighbour(&mut self) {
    let now = self.now.time;
    let known = self.connecting.len() + self.upstreams().len();
    if known >= Self::NEIGHBOURS || now < self.neighbour_at {
      return;
    }
    self.neighbour_at = now.after(Self::TRY_MS);
    let linked: BTreeSet<&BoxId> = self.links.values().map(|link| &link.peer).collect();
    let others: Vec<&Peer> = self
      .endpoints
      .present()
      .map(|endpoint| &endpoint.peer)
      .filter(|peer| peer.box_id != self.own.peer.box_id)
      .filter(|peer| !linked.contains(&peer.box_id) && !self.connecting.contains_key(&peer.box_id))
      .collect();
    if let Some(peer) = others.choose(&mut self.rng).copied().cloned() {
      self.connecting.insert(peer.box_id.clone(), now);
      self.act(Action::OpenLink(peer));
    }
  }

  fn upstreams(&self) -> Vec<LinkId> {
    let upstreams = self.links.iter().filter(|(_, link)| link.role == LinkRole::Upstream);
    upstreams.map(|(id, _)| *id).collect()
  }

  /// The store serves this daemon again, so it needs no neighbours.
  fn leave_neighbours(&mut self) {
    for link in self.upstreams() {
      self.close_link(link);
    }
  }

  pub(super) fn link_opened(&mut self, link: LinkId, outbound: bool, peer: &BoxId) {
    let role = if outbound { LinkRole::Upstream } else { LinkRole::Pending };
    self.links.insert(link, Link::new(self.now.time, peer.clone(), role));
    if !outbound {
      return;
    }
    self.connecting.remove(peer);
    let subscribe = Subscribe {
      applied_unix_ms: 0,
      desperate: true,
      endpoint: self.own.clone(),
      endpoints: self.endpoints.fingerprint(),
      relay: false,
      version: self.catalog.held(),
    };
    self.send(link, Message::Subscribe(Box::new(subscribe)));
  }

  pub(super) fn link_closed(&mut self, link: LinkId) {
    let Some(closed) = self.links.remove(&link) else {
      return;
    };
    if !self.is_linked_downstream(&closed.peer) && self.sponsored.remove(&closed.peer) {
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
    known.heard_at = now;
    match message {
      Message::Answer { id, reports } => {
        self.inquiries.answered(id, link, reports);
      }
      Message::Ask { hops: _, id, question } => self.neighbour_asked(link, id, &question),
      Message::Beat(beat) => self.beat_received(link, &beat),
      Message::News(endpoints) => self.news_received(link, &endpoints),
      Message::Subscribe(subscribe) => self.subscription_asked(link, &subscribe),
      Message::Update(update) => self.update_received(link, update),
      Message::Accepted { .. }
      | Message::Redirect { .. }
      | Message::Refused { .. }
      | Message::Relays(_)
      | Message::Welcome { .. } => {}
    }
  }

  fn subscription_asked(&mut self, link: LinkId, subscribe: &Subscribe) {
    if let Some(known) = self.links.get_mut(&link) {
      known.role = LinkRole::Downstream;
      known.version = subscribe.version;
    }
    let floor = self.catalog.floor();
    self.send(link, Message::Welcome { floor, is_relay: false, relays: Relays::default() });
    let present: Vec<Endpoint> = self.endpoints.present().cloned().collect();
    self.send(link, Message::News(present));
    self.news_received(link, std::slice::from_ref(&subscribe.endpoint));
    self.push_update(link);
    if self.lapsed.contains_key(&subscribe.endpoint.peer.box_id) {
      self.sponsor(&subscribe.endpoint.peer.box_id);
    }
  }

  fn beat_received(&mut self, link: LinkId, beat: &Beat) {
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.version = beat.version.max(known.version);
    known.store_age_ms = beat.store_age_ms;
    let cut_off = beat.store_age_ms.is_none_or(|age_ms| age_ms > Self::SILENCE_MS + Self::BEAT_MS);
    // A neighbour that the store does not serve either is replaced where others are known.
    if cut_off && known.role == LinkRole::Upstream && self.endpoints.present().count() > 3 {
      self.close_link(link);
    }
  }

  fn news_received(&mut self, link: LinkId, endpoints: &[Endpoint]) {
    let mut fresh = Vec::new();
    for endpoint in endpoints {
      if self.take_news(endpoint) {
        fresh.push(endpoint.clone());
      }
    }
    let sponsored: Vec<BoxId> = fresh
      .iter()
      .map(|endpoint| endpoint.peer.box_id.clone())
      .filter(|box_id| self.sponsored.contains(box_id))
      .collect();
    for box_id in sponsored {
      self.sponsor(&box_id);
    }
    self.news_taken(&fresh, Some(link));
  }

  pub(super) fn news_taken(&mut self, fresh: &[Endpoint], from: Option<LinkId>) {
    if fresh.is_empty() {
      return;
    }
    self.act(Action::EndpointsChanged);
    self.spread(fresh, from);
  }

  /// Tells all neighbours but one.
  pub(super) fn spread(&mut self, endpoints: &[Endpoint], but: Option<LinkId>) {
    let links: Vec<LinkId> = self.links.keys().copied().filter(|link| Some(*link) != but).collect();
    for link in links {
      self.send(link, Message::News(endpoints.to_vec()));
    }
  }

  /// Keeps the entry of a box in the store that lives but that the store does not serve.
  pub(super) fn sponsor(&mut self, box_id: &BoxId) {
    let Some(lease) = self.registration.lease().filter(|_| self.failing_since.is_none()) else {
      return;
    };
    let Some(endpoint) = self.endpoints.get(box_id).filter(|one| !one.state.is_gone()) else {
      return;
    };
    let value = to_json(endpoint);
    self.sponsored.insert(box_id.clone());
    self.log(format!("the entry of box {box_id} is kept for it: it lives, and the store lacks it"));
    let key = keys::endpoint(box_id);
    self.call_store(StoreRequest::Put { key, lease: Some(lease), value });
  }

  fn update_received(&mut self, link: LinkId, update: Update) {
    let from = self.links.get(&link).map(|link| link.peer.clone());
    match self.catalog.take(update, from, self.now.unix_ms) {
      Ok(()) => self.switched(),
      Err(Error::Backwards { .. }) => {}
      Err(err) => self.log(format!("an update was refused: {err}")),
    }
  }

  /// A newer version is in force here: bring it to the neighbours that lack it.
  pub(super) fn switched(&mut self) {
    let Some(configuration) = self.catalog.configuration().cloned() else {
      return;
    };
    self.act(Action::Apply(configuration));
    let links: Vec<LinkId> = self.links.keys().copied().collect();
    for link in links {
      self.push_update(link);
    }
  }

  fn push_update(&mut self, link: LinkId) {
    let now = self.now.time;
    let Some((version, known)) = self.catalog.version().zip(self.links.get_mut(&link)) else {
      return;
    };
    if known.role != LinkRole::Downstream || !known.wants(now, version, Self::SILENCE_MS) {
      return;
    }
    known.sent = Some((version, now));
    let held = known.version;
    if let Some(update) = self.catalog.update_for(held) {
      self.send(link, Message::Update(update));
    }
  }
}
