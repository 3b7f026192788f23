use super::*;

/// A changed endpoint that has not been sent out yet.
#[derive(Clone, Debug)]
pub(super) struct UnsentEndpoint {
  endpoint: Endpoint,
  /// The link that it came from; `None` if this daemon detected the change itself.
  from: Option<LinkId>,
}

/// Merges changes of endpoints and sends them to this box's proxies and to the neighbours.
impl Follower {
  /// Merges an endpoint. Returns whether it is newer than the known one.
  pub(super) fn merge_endpoint(&mut self, endpoint: &Endpoint) -> bool {
    if endpoint.peer.box_id == self.own.peer.box_id {
      self.merge_own_endpoint(endpoint);
      return false;
    }
    if !endpoint.state.is_gone() {
      self.lapsed.remove(&endpoint.peer.box_id);
    }
    let known = self.endpoints.get(&endpoint.peer.box_id);
    let former = known.map(|known| known.service.clone());
    let is_new = self.endpoints.merge(self.now.time, endpoint.clone());
    self.changed_services.extend(former.filter(|former| is_new && *former != endpoint.service));
    is_new
  }

  /// Queues endpoints that were merged. Single ones are sent out at once; those of a burst are
  /// batched for a tick, so that each neighbour gets them in one message.
  pub(super) fn endpoints_merged(&mut self, endpoints: &[Endpoint], from: Option<LinkId>) {
    for endpoint in endpoints {
      self.watchers.update(endpoint);
      let unsent = UnsentEndpoint { endpoint: endpoint.clone(), from };
      self.unsent_endpoints.insert(endpoint.peer.box_id.clone(), unsent);
    }
    if self.now.time.since_ms(self.endpoints_sent_at) >= Distributor::TICK_MS {
      self.send_endpoints();
    }
  }

  /// Sends the queued endpoints to this box's proxies only. They stay queued for the neighbours.
  pub(super) fn publish_unsent_endpoints(&mut self) {
    let unsent: Vec<Endpoint> =
      self.unsent_endpoints.values().map(|one| one.endpoint.clone()).collect();
    if !unsent.is_empty() {
      self.act(Action::EndpointsUpdated(unsent));
    }
  }

  /// Sends the queued endpoints to this box's proxies and to all neighbours except those they came
  /// from.
  pub(super) fn send_endpoints(&mut self) {
    let unsent = std::mem::take(&mut self.unsent_endpoints);
    if unsent.is_empty() {
      return;
    }
    self.endpoints_sent_at = self.now.time;
    let endpoints: Vec<Endpoint> = unsent.values().map(|one| one.endpoint.clone()).collect();
    self.note_versions(&endpoints);
    self.act(Action::EndpointsUpdated(endpoints));
    let links: Vec<LinkId> = self.links.keys().copied().collect();
    for link in links {
      let endpoints = unsent.values().filter(|one| one.from != Some(link));
      let endpoints: Vec<Endpoint> = endpoints.map(|one| one.endpoint.clone()).collect();
      if !endpoints.is_empty() {
        self.send(link, Message::Endpoints(endpoints));
      }
    }
  }
}
