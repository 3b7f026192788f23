use super::*;

/// Roll-outs: what this box hears of them, tells on, and writes into the store.
impl Follower {
  /// An entry of the operators was read that is not the configuration.
  pub(super) fn note_order(&mut self, entry: &Entry) {
    let Some(service) = self.source.ordered_service(&entry.key) else {
      return;
    };
    let read = entry.value.text().and_then(|text| self.source.read_order(text));
    match read {
      Ok(order) if order.service == service => {
        self.log(format!(
          "the operators order {service} to run {} within {} ms, at revision {}",
          order.target, order.duration_ms, entry.revision
        ));
        self.rollouts.ordered(self.now.time, &order, entry.revision);
      }
      Ok(order) => self.log(format!("the order for {service} speaks of {}", order.service)),
      Err(reason) => self.log(format!("the order for {service} cannot be read: {reason}")),
    }
  }

  /// An entry of the operators is gone.
  pub(super) fn note_withdrawal(&mut self, key: &Key, revision: Revision) {
    if self.note_evacuation(key, revision, false) {
      return;
    }
    if let Some(service) = self.source.ordered_service(key) {
      self.log(format!("the operators took back their order for {service}"));
      let actions = self.rollouts.withdrawn(self.now.time, &service);
      self.carry_out(actions);
    }
  }

  /// A record was read among the entries of the directory.
  pub(super) fn note_rollout(&mut self, service: &ServiceName, entry: &Entry) {
    let (now, unix_ms) = (self.now.time, self.now.unix_ms);
    let actions = self.rollouts.found(now, unix_ms, service, entry);
    self.carry_out(actions);
  }

  /// A neighbour told where a roll-out stands.
  pub(super) fn rollout_told(&mut self, link: LinkId, word: &rollout::Word) {
    let (is_new, actions) = self.rollouts.heard(self.now.time, word);
    if is_new && actions.is_empty() {
      self.tell_rollout(word, Some(link));
    }
    self.carry_out(actions);
  }

  /// A new neighbour is told of all roll-outs.
  pub(super) fn tell_rollouts_to(&mut self, link: LinkId) {
    for word in self.rollouts.words(self.now.time) {
      self.send(link, Message::Rollout(Box::new(word)));
    }
  }

  fn tell_rollout(&mut self, word: &rollout::Word, but: Option<LinkId>) {
    let links: Vec<LinkId> = self.links.keys().copied().filter(|link| Some(*link) != but).collect();
    for link in links {
      self.send(link, Message::Rollout(Box::new(word.clone())));
    }
  }

  pub(super) fn carry_out(&mut self, actions: Vec<RolloutAction>) {
    for action in actions {
      match action {
        RolloutAction::Call { request, service } => {
          let call = self.call_store(request);
          self.rollout_calls.insert(call, service);
        }
        RolloutAction::Changed => self.tell_traffic(),
        RolloutAction::Log(text) => self.log(text),
        RolloutAction::Spread(word) => self.tell_rollout(&word, None),
      }
    }
  }

  /// The store answered a call for a roll-out. Returns whether it was one.
  pub(super) fn rollout_answered(&mut self, call: u64, result: &store::Result<Reply>) -> bool {
    let Some(service) = self.rollout_calls.remove(&call) else {
      return false;
    };
    let (now, unix_ms) = (self.now.time, self.now.unix_ms);
    let actions = self.rollouts.store_answered(now, unix_ms, &service, result);
    self.carry_out(actions);
    true
  }

  /// The proxies of this box are told what goes where, where that changed.
  fn tell_traffic(&mut self) {
    let traffic = self.rollouts.traffic();
    if self.traffic.as_ref() != Some(&traffic) {
      self.traffic = Some(traffic.clone());
      self.act(Action::RolloutsChanged(traffic));
    }
  }

  /// News about boxes may tell which versions are in force.
  pub(super) fn note_versions(&mut self, news: &[Endpoint]) {
    // A box that knows only itself cannot tell what its fleet runs.
    if self.endpoints.present().nth(1).is_none() && self.directory_revision == Revision::default() {
      return;
    }
    let changed = std::mem::take(&mut self.changed_services);
    let is_first = self.traffic.is_none();
    let changed: BTreeSet<&ServiceName> =
      news.iter().map(|endpoint| &endpoint.service).chain(&changed).collect();
    let mut services: BTreeMap<&ServiceName, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in self.endpoints.present() {
      if is_first || changed.contains(&endpoint.service) {
        services.entry(&endpoint.service).or_default().push(endpoint);
      }
    }
    for (service, endpoints) in services {
      let view = view(&self.identity, self.now, endpoints);
      self.rollouts.note_endpoints(service, &view);
    }
    self.tell_traffic();
  }

  pub(super) fn tick_rollouts(&mut self) {
    for service in self.rollouts.services_at_work() {
      let is_of = |endpoint: &&Endpoint| endpoint.service == service;
      let endpoints = self.endpoints.present().filter(is_of).collect();
      let hears_all = self.watchers.contains(&self.own.peer.box_id);
      let view = view(&self.identity, self.now, endpoints);
      let view = FleetView { hears_all, rank: self.decider_rank(&service), ..view };
      let actions = self.rollouts.tick(&service, &view);
      self.carry_out(actions);
    }
    self.flush_evidence();
  }

  /// How many boxes would decide a service's roll-out before this one; nothing where it cannot.
  fn decider_rank(&self, service: &ServiceName) -> Option<u64> {
    if self.failing_since.is_some() || self.contact_at.is_none() {
      return None;
    }
    let rank = self.watchers.rank(&self.own.peer.box_id, service);
    // Where no watcher lives that this box knows of, whoever watches the store decides.
    rank.or_else(|| self.must_watch().then(|| self.watchers.count() + 1))
  }

  /// A box told what it saw of its backend server's answers.
  pub(super) fn evidence_told(&mut self, from: Option<LinkId>, told: Vec<Evidence>) {
    let now = self.now.time;
    for evidence in told {
      if self.rollouts.observed(now, &evidence) {
        self.evidence.push((from, evidence));
      }
    }
  }

  /// Tells on what was heard of backend servers' answers: watchers to each other, others to those that they
  /// subscribe to. So those who may decide know all of it, and nobody else carries it.
  fn flush_evidence(&mut self) {
    let heard = std::mem::take(&mut self.evidence);
    if heard.is_empty() {
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
      let told = heard.iter().filter(|(from, _)| *from != Some(link));
      let told: Vec<Evidence> = told.map(|(_, evidence)| evidence.clone()).collect();
      if !told.is_empty() {
        self.send(link, Message::Evidence(told));
      }
    }
  }
}

/// What is known of a service's boxes, by a box that decides nothing.
fn view<'a>(identity: &'a Identity, now: Moment, endpoints: Vec<&'a Endpoint>) -> FleetView<'a> {
  FleetView {
    endpoints,
    hears_all: false,
    limits: identity.share_limits,
    now: now.time,
    own_box: &identity.endpoint.peer.box_id,
    rank: None,
    unix_ms: now.unix_ms,
  }
}
