use super::*;

/// Roll-outs: receives, forwards and stores their state.
impl Follower {
  /// Handles an entry of the operators other than the configuration.
  pub(super) fn note_order(&mut self, entry: &Entry) {
    let Some(service) = self.source.ordered_service(&entry.key) else {
      return;
    };
    let read = entry.value.text().and_then(|text| self.source.read_order(text));
    match read {
      Ok(order) if order.service == service => {
        self.log(format!(
          "the operators order {service} to run {} within {} ms at revision {}",
          order.target, order.duration_ms, entry.revision
        ));
        self.rollouts.order_found(self.now.time, &order, entry.revision);
      }
      Ok(order) => {
        self.log(format!("the order for {service} names another service, {}", order.service));
      }
      Err(reason) => self.log(format!("the order for {service} cannot be read: {reason}")),
    }
  }

  /// Handles the removal of an operators' entry.
  pub(super) fn note_withdrawal(&mut self, key: &Key, revision: Revision) {
    if self.note_evacuation(key, revision, false) {
      return;
    }
    if let Some(service) = self.source.ordered_service(key) {
      self.log(format!("the operators withdrew their order for {service}"));
      let actions = self.rollouts.order_withdrawn(self.now.time, &service);
      self.carry_out(actions);
    }
  }

  /// Handles a roll-out's record found among the entries of the directory.
  pub(super) fn note_rollout(&mut self, service: &ServiceName, entry: &Entry) {
    let (now, unix_ms) = (self.now.time, self.now.unix_ms);
    let actions = self.rollouts.record_found(now, unix_ms, service, entry);
    self.carry_out(actions);
  }

  /// Handles a roll-out's state sent by a neighbour.
  pub(super) fn rollout_received(&mut self, link: LinkId, update: &rollout::RolloutUpdate) {
    let (is_new, actions) = self.rollouts.update_received(self.now.time, update);
    if is_new && actions.is_empty() {
      self.send_rollout(update, Some(link));
    }
    self.carry_out(actions);
  }

  /// Sends the state of all roll-outs to a new neighbour.
  pub(super) fn send_rollouts_to(&mut self, link: LinkId) {
    for update in self.rollouts.updates(self.now.time) {
      self.send(link, Message::Rollout(Box::new(update)));
    }
  }

  fn send_rollout(&mut self, update: &rollout::RolloutUpdate, but: Option<LinkId>) {
    let links: Vec<LinkId> = self.links.keys().copied().filter(|link| Some(*link) != but).collect();
    for link in links {
      self.send(link, Message::Rollout(Box::new(update.clone())));
    }
  }

  pub(super) fn carry_out(&mut self, actions: Vec<RolloutAction>) {
    for action in actions {
      match action {
        RolloutAction::Call { request, service } => {
          let call = self.call_store(request);
          self.rollout_calls.insert(call, service);
        }
        RolloutAction::TrafficChanged => self.publish_traffic(),
        RolloutAction::Log(text) => self.log(text),
        RolloutAction::Broadcast(update) => self.send_rollout(&update, None),
      }
    }
  }

  /// Handles the store's answer to a roll-out's call. Returns whether the call was one.
  pub(super) fn rollout_answered(&mut self, call: u64, result: &store::Result<Reply>) -> bool {
    let Some(service) = self.rollout_calls.remove(&call) else {
      return false;
    };
    let (now, unix_ms) = (self.now.time, self.now.unix_ms);
    let actions = self.rollouts.store_answered(now, unix_ms, &service, result);
    self.carry_out(actions);
    true
  }

  /// Publishes the shares of versions to this box's proxies if they changed. The endpoints behind
  /// them go first: with older endpoints, no box seems to run the version in force.
  fn publish_traffic(&mut self) {
    let traffic = self.rollouts.traffic();
    if self.traffic.as_ref() != Some(&traffic) {
      self.traffic = Some(traffic.clone());
      self.publish_unsent_endpoints();
      self.act(Action::RolloutsChanged(traffic));
    }
  }

  /// Derives from changed endpoints which versions are in force.
  pub(super) fn note_versions(&mut self, updated: &[Endpoint]) {
    // A box that knows only itself cannot derive what its fleet runs.
    if self.endpoints.present().nth(1).is_none() && self.directory_revision == Revision::default() {
      return;
    }
    let changed = std::mem::take(&mut self.changed_services);
    let is_first = self.traffic.is_none();
    let changed: BTreeSet<&ServiceName> =
      updated.iter().map(|endpoint| &endpoint.service).chain(&changed).collect();
    let mut services: BTreeMap<&ServiceName, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in self.endpoints.present() {
      if is_first || changed.contains(&endpoint.service) {
        services.entry(&endpoint.service).or_default().push(endpoint);
      }
    }
    let mut lines = Vec::new();
    for (service, endpoints) in services {
      let view = view(&self.identity, self.now, endpoints);
      if let Some(version) = self.rollouts.note_endpoints(service, &view) {
        lines.push(format!(
          "version {version} of {service} is in force: its boxes run no other one in force"
        ));
      }
    }
    for line in lines {
      self.log(line);
    }
    self.publish_traffic();
  }

  pub(super) fn tick_rollouts(&mut self) {
    for service in self.rollouts.active_services() {
      let is_of = |endpoint: &&Endpoint| endpoint.service == service;
      let endpoints = self.endpoints.present().filter(is_of).collect();
      let hears_all = self.watchers.contains(&self.own.peer.box_id);
      let view = view(&self.identity, self.now, endpoints);
      let view =
        FleetView { receives_all_evidence: hears_all, rank: self.decider_rank(&service), ..view };
      let actions = self.rollouts.tick(&service, &view);
      self.carry_out(actions);
    }
    self.flush_evidence();
  }

  /// Number of boxes that take precedence over this one in deciding a service's roll-out; `None` if
  /// it cannot decide.
  fn decider_rank(&self, service: &ServiceName) -> Option<u64> {
    if self.failing_since.is_some() || self.contact_at.is_none() {
      return None;
    }
    let rank = self.watchers.rank(&self.own.peer.box_id, service);
    // If this box knows of no live watcher, any box that watches the store decides.
    rank.or_else(|| self.must_watch().then(|| self.watchers.count() + 1))
  }

  /// Handles a box's observations of its backend server's answers.
  pub(super) fn evidence_received(&mut self, from: Option<LinkId>, received: Vec<Evidence>) {
    let now = self.now.time;
    for evidence in received {
      if self.rollouts.evidence_received(now, &evidence) {
        self.unsent_evidence.push((from, evidence));
      }
    }
  }

  /// Forwards observations of backend servers' answers: watchers to each other, other boxes to
  /// those they subscribe to. Every box that may decide thus has all of them, and no other box
  /// carries them.
  fn flush_evidence(&mut self) {
    let unsent = std::mem::take(&mut self.unsent_evidence);
    if unsent.is_empty() {
      return;
    }
    let is_watcher = self.watchers.contains(&self.own.peer.box_id);
    let leads_there = |link: &Link| {
      let is_upstream = link.role == LinkRole::Upstream;
      if is_watcher { self.watchers.contains(&link.peer) } else { is_upstream }
    };
    let links = self.links.iter().filter(|(_, link)| leads_there(link));
    let links: Vec<LinkId> = links.map(|(id, _)| *id).collect();
    for link in links {
      let forwarded = unsent.iter().filter(|(from, _)| *from != Some(link));
      let forwarded: Vec<Evidence> = forwarded.map(|(_, evidence)| evidence.clone()).collect();
      if !forwarded.is_empty() {
        self.send(link, Message::Evidence(forwarded));
      }
    }
  }
}

/// The view of a service's boxes for a box that decides nothing.
fn view<'a>(identity: &'a Identity, now: Moment, endpoints: Vec<&'a Endpoint>) -> FleetView<'a> {
  FleetView {
    endpoints,
    receives_all_evidence: false,
    limits: identity.share_limits,
    now: now.time,
    own_box: &identity.endpoint.peer.box_id,
    rank: None,
    unix_ms: now.unix_ms,
  }
}
