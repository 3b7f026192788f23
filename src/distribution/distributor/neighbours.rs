use super::*;

/// Opens and closes links, finds a daemon to subscribe to, and connects relays with each other.
impl Distributor {
  /// Longest pause, in milliseconds, before a failed link between relays is retried.
  const MESH_RETRY_MS: u64 = 2_000;

  pub(super) fn tick_upstream(&mut self) {
    if self.is_relay() {
      return;
    }
    if self.upstream.is_overdue(self.now.time) {
      self.drop_upstream();
    }
    let target = self.upstream.tick(
      self.now.time,
      &self.own.peer,
      &self.relays,
      &self.identity.seeds,
      &mut self.rng,
    );
    if let Some(peer) = target {
      self.push_action(Action::OpenLink(peer));
    }
  }

  /// Ends the current connection attempt or subscription, so that another box is tried.
  pub(super) fn drop_upstream(&mut self) {
    if let Some(link) = self.upstream.any_link() {
      self.close_link(link);
    }
    self.upstream.fail(self.now.time, &mut self.rng);
  }

  pub(super) fn tick_mesh(&mut self) {
    if !self.is_relay() {
      return;
    }
    let own = self.own.peer.box_id.clone();
    let linked: BTreeSet<BoxId> =
      self.established_links(LinkRole::Mesh).map(|(_, link)| link.peer.clone()).collect();
    let wanted = self.relays.0.iter().map(|(_, peer)| peer);
    let missing: BTreeSet<Peer> =
      wanted.filter(|peer| peer.box_id > own && !linked.contains(&peer.box_id)).cloned().collect();
    for peer in missing {
      let due = self.mesh_next_at.get(&peer.box_id).is_none_or(|at| self.now.time >= *at);
      if due {
        let pause_ms = self.rng.random_range(Self::MESH_RETRY_MS / 2..=Self::MESH_RETRY_MS);
        self.mesh_next_at.insert(peer.box_id.clone(), self.now.time.after(pause_ms));
        self.push_action(Action::OpenLink(peer));
      }
    }
  }

  pub(super) fn link_opened(&mut self, link: LinkId, outbound: bool, peer: &BoxId) {
    self.links.insert(link, Link::new(self.now.time, peer.clone(), LinkRole::Pending));
    if !outbound {
      return;
    }
    if self.upstream.is_connecting(peer) {
      self.upstream.asked(self.now.time, link);
      self.subscribe(link);
      return;
    }
    if self.is_querying_floor(peer) {
      let question = Question::Floor { box_id: self.own.peer.box_id.clone() };
      self.send(link, Message::Ask { hops: 0, id: InquiryId::default(), question });
      return;
    }
    if self.announcing.remove(peer) {
      // The receiver closes the link.
      self.send(link, Message::Relays(self.relays.clone()));
      return;
    }
    if self.is_relay() && self.relays.has(peer) {
      self.set_role(link, LinkRole::Mesh);
      self.subscribe(link);
      return;
    }
    self.close_link(link);
  }

  pub(super) fn link_failed(&mut self, box_id: &BoxId) {
    self.floor_query_ended(box_id);
    self.announcing.remove(box_id);
    if self.upstream.is_connecting(box_id) {
      self.upstream.fail(self.now.time, &mut self.rng);
    }
  }

  pub(super) fn link_closed(&mut self, link: LinkId) {
    let Some(closed) = self.links.remove(&link) else {
      return;
    };
    self.inquiries.link_closed(link);
    self.floor_query_ended(&closed.peer);
    if self.upstream.any_link() == Some(link) {
      self.upstream.fail(self.now.time, &mut self.rng);
    }
  }

  pub(super) fn close_link(&mut self, link: LinkId) {
    self.push_action(Action::CloseLink { link });
    self.link_closed(link);
  }

  pub(super) fn close_silent_links(&mut self) {
    let silence_ms = self.identity.timing.silence_ms();
    let silent = |link: &Link| self.now.time.since_ms(link.last_received_at) > silence_ms;
    let closing: Vec<LinkId> =
      self.links.iter().filter(|(_, link)| silent(link)).map(|(id, _)| *id).collect();
    for link in closing {
      self.close_link(link);
    }
  }

  pub(super) fn set_role(&mut self, link: LinkId, role: LinkRole) {
    if let Some(link) = self.links.get_mut(&link) {
      link.role = role;
    }
  }

  pub(super) fn subscribe(&mut self, link: LinkId) {
    let subscribe = Subscribe {
      applied_unix_ms: self.applied_unix_ms(),
      accepts_any_daemon: self.upstream.accepts_any_daemon(self.relays.0.len()),
      endpoint: self.own.clone(),
      endpoints_fingerprint: self.endpoints.fingerprint(),
      relay: self.is_relay(),
      version: self.catalog.held(),
    };
    self.send(link, Message::Subscribe(Box::new(subscribe)));
  }

  pub(super) fn redirect_received(&mut self, link: LinkId, floor: Version, relays: Relays) {
    let Some(known) = self.links.get(&link) else {
      return;
    };
    self.floor_received(known.peer.clone(), floor);
    self.learn_relays(relays);
    if self.upstream.any_link() == Some(link) {
      self.drop_upstream();
    } else {
      self.close_link(link);
    }
  }

  pub(super) fn welcome_received(
    &mut self,
    link: LinkId,
    floor: Version,
    is_relay: bool,
    relays: Relays,
  ) {
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.is_relay = is_relay;
    let peer = known.peer.clone();
    self.floor_received(peer.clone(), floor);
    self.learn_relays(relays);
    if !self.upstream.is_asking(link) {
      return;
    }
    self.upstream.subscribed(link);
    self.set_role(link, LinkRole::Upstream);
    self.own.relay = Some(peer);
    self.announce();
    if is_relay {
      // Subscribers that found no relay before can now subscribe to one.
      self.redirect_subscribers();
    }
  }
}
