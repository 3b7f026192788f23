use super::*;

/// Serves the daemons that subscribe to this one.
impl Distributor {
  /// Accepts or redirects a subscriber. A relay accepts subscribers up to its limit. Any other
  /// daemon accepts only those that found no relay, and only if it is subscribed or holds a
  /// configuration.
  pub(super) fn subscribe_received(&mut self, link: LinkId, subscribe: &Subscribe) {
    let Some(known) = self.links.get(&link) else {
      return;
    };
    let peer = known.peer.clone();
    if subscribe.endpoint.peer.box_id != peer {
      self.close_link(link);
      return;
    }
    let is_new = known.role == LinkRole::Pending;
    let relays = self.relays.clone();
    let floor = self.floor_for(&peer);
    if is_new && !self.may_serve(subscribe) {
      self.send(link, Message::Redirect { floor, relays });
      return;
    }
    let role = if subscribe.relay { LinkRole::Mesh } else { LinkRole::Downstream };
    self.set_role(link, role);
    self.record_version(link, subscribe.version);
    self.record_applied(link, subscribe.applied_unix_ms);
    let is_relay = self.is_relay();
    self.send(link, Message::Welcome { floor, is_relay, relays });
    self.sync_endpoints_unless(link, subscribe.endpoints_fingerprint);
    self.endpoints_received(link, vec![subscribe.endpoint.clone()]);
    self.push_update(link);
  }

  fn may_serve(&self, subscribe: &Subscribe) -> bool {
    if self.own.state == EndpointState::Leaving {
      return false;
    }
    if subscribe.relay && self.is_relay() {
      return true;
    }
    let has_room = self.established_links(LinkRole::Downstream).count() < Self::DOWNSTREAM_MAX;
    let is_source = self.upstream.link().is_some() || self.catalog.version().is_some();
    has_room && (self.is_relay() || (subscribe.accepts_any_daemon && is_source))
  }

  /// Redirects all subscribers to the relays that this daemon knows.
  pub(super) fn redirect_subscribers(&mut self) {
    let links: Vec<(LinkId, BoxId)> = self
      .established_links(LinkRole::Downstream)
      .map(|(id, link)| (id, link.peer.clone()))
      .collect();
    for (link, peer) in links {
      let floor = self.floor_for(&peer);
      self.send(link, Message::Redirect { floor, relays: self.relays.clone() });
      self.set_role(link, LinkRole::Pending);
    }
  }
}
