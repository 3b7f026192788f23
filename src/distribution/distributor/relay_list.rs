use super::*;

/// Maintains the list of relays and announces it to others.
impl Distributor {
  /// Replaces the list of relays by a neighbour's. A relay ignores it, because it has the store's
  /// list.
  pub(super) fn learn_relays(&mut self, relays: Relays) {
    if !self.is_relay() && !relays.0.is_empty() {
      self.relays = relays;
    }
  }

  /// Announces a new relay to the boxes of its data hall, so that they need not read the store.
  pub(super) fn announce_relay(&mut self) {
    let own = self.own.peer.clone();
    let linked: BTreeSet<&BoxId> =
      self.links.values().filter(|link| link.is_established()).map(|link| &link.peer).collect();
    let present = self.endpoints.present().map(|endpoint| &endpoint.peer);
    let known: BTreeSet<Peer> = self
      .identity
      .seeds
      .iter()
      .chain(present)
      .filter(|peer| peer.data_hall == own.data_hall && peer.box_id != own.box_id)
      .filter(|peer| !linked.contains(&peer.box_id))
      .cloned()
      .collect();
    for peer in known {
      self.announcing.insert(peer.box_id.clone());
      self.push_action(Action::OpenLink(peer));
    }
  }

  /// Handles the announcement of a relay; ignored by a box that a relay serves.
  fn relay_announcement_received(&mut self, link: LinkId, relays: Relays) {
    if !self.is_served_by_relay() {
      self.learn_relays(relays);
      self.upstream.relay_found(self.now.time, &mut self.rng);
    }
    self.close_link(link);
  }

  pub(super) fn relays_received(&mut self, link: LinkId, relays: Relays) {
    if self.links.get(&link).is_some_and(|known| known.role == LinkRole::Pending) {
      self.relay_announcement_received(link, relays);
      return;
    }
    if self.upstream.link() != Some(link) {
      return;
    }
    self.learn_relays(relays);
    self.send_relays();
  }

  /// Sends the list of relays to the subscribers.
  pub(super) fn send_relays(&mut self) {
    let links: Vec<LinkId> =
      self.established_links(LinkRole::Downstream).map(|(id, _)| id).collect();
    for link in links {
      self.send(link, Message::Relays(self.relays.clone()));
    }
  }
}
