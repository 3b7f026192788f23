use super::*;

/// Spreads endpoints through the fleet and declares silent boxes lost.
impl Distributor {
  /// Largest number of endpoints in one message.
  const ENDPOINTS_PER_MESSAGE: usize = 64;
  /// Consecutive heartbeats with a different fingerprint after which the whole table is sent.
  const MISMATCHES_MAX: u32 = 3;
  /// Shortest time between two whole tables on one link, in milliseconds.
  const SYNC_INTERVAL_MIN_MS: u64 = 15_000;

  pub(super) fn change_state(&mut self, state: EndpointState) {
    if self.own.state == state || self.own.state == EndpointState::Leaving {
      return;
    }
    self.own.state = state;
    self.announce();
    if state != EndpointState::Leaving {
      return;
    }
    if let Some(slot) = self.election.held().cloned() {
      if let Some(request) = self.election.resign() {
        self.call_store(request);
      }
      self.resign_relay(&slot);
    }
  }

  pub(super) fn change_service(&mut self, service: ServiceName, slots: u32, starts: u32) {
    let own = &mut self.own;
    let is_same = own.service == service && own.slots == slots && own.backend_starts == starts;
    (own.service, own.slots, own.backend_starts) = (service, slots, starts);
    if !is_same {
      self.announce();
    }
  }

  /// Announces to the fleet how requests ended at this box's backend server.
  pub(super) fn runs_ended(&mut self, what: RunOutcome) {
    self.own.add_finding(RunFinding { id: self.rng.random(), outcome: what });
    self.announce();
  }

  /// Announces the daemon's own endpoint with a new sequence number.
  pub(super) fn announce(&mut self) {
    self.own.sequence += 1;
    self.endpoints.merge(self.now.time, self.own.clone());
    self.queue_endpoint(&self.own.peer.box_id.clone(), None);
    self.push_action(Action::EndpointsChanged);
  }

  /// Queues a box's endpoint for all neighbours except the one that sent it.
  fn queue_endpoint(&mut self, box_id: &BoxId, from: Option<LinkId>) {
    for (id, link) in &mut self.links {
      if link.is_established() && Some(*id) != from {
        link.unsent_endpoints.insert(box_id.clone());
      }
    }
    let due = self.now.time.after(self.identity.timing.endpoint_delay_ms);
    self.endpoints_due.get_or_insert(due);
  }

  pub(super) fn endpoints_received(&mut self, link: LinkId, endpoints: Vec<Endpoint>) {
    let mut changed = false;
    for endpoint in endpoints {
      let box_id = endpoint.peer.box_id.clone();
      if box_id == self.own.peer.box_id {
        self.refute(&endpoint);
        continue;
      }
      if self.endpoints.merge(self.now.time, endpoint) {
        changed = true;
        self.queue_endpoint(&box_id, Some(link));
      }
    }
    if changed {
      self.push_action(Action::EndpointsChanged);
    }
  }

  /// Overrides an announcement about this box that it did not make, such as its loss, by a newer
  /// one.
  fn refute(&mut self, announcement: &Endpoint) {
    if !announcement.is_newer_than(&self.own) {
      return;
    }
    if announcement.incarnation > self.own.incarnation {
      self.own.incarnation = announcement.incarnation.next();
    }
    self.own.sequence = self.own.sequence.max(announcement.sequence);
    self.announce();
  }

  pub(super) fn send_queued_endpoints(&mut self) {
    if self.endpoints_due.is_none_or(|due| self.now.time < due) {
      return;
    }
    self.endpoints_due = None;
    let links: Vec<LinkId> = self.links.keys().copied().collect();
    for link in links {
      let Some(known) = self.links.get_mut(&link) else {
        continue;
      };
      let unsent = std::mem::take(&mut known.unsent_endpoints);
      let endpoints: Vec<Endpoint> =
        unsent.iter().filter_map(|id| self.endpoints.get(id)).cloned().collect();
      self.send_endpoints(link, &endpoints);
    }
  }

  fn send_endpoints(&mut self, link: LinkId, endpoints: &[Endpoint]) {
    for batch in endpoints.chunks(Self::ENDPOINTS_PER_MESSAGE) {
      self.send(link, Message::Endpoints(batch.to_vec()));
    }
  }

  /// Sends the whole table if the neighbour's fingerprint differs.
  pub(super) fn sync_endpoints_unless(&mut self, link: LinkId, fingerprint: u32) {
    if fingerprint == self.endpoints.fingerprint() {
      return;
    }
    let now = self.now.time;
    if let Some(link) = self.links.get_mut(&link) {
      link.unsent_endpoints.clear();
      link.fingerprint_mismatches = 0;
      link.table_sent_at = Some(now);
    }
    let all: Vec<Endpoint> = self.endpoints.iter().cloned().collect();
    self.send_endpoints(link, &all);
  }

  /// Counts consecutive fingerprint mismatches and sends the whole table after too many of them.
  pub(super) fn compare_endpoints(&mut self, link: LinkId, fingerprint: u32) {
    let differs = fingerprint != self.endpoints.fingerprint();
    let now = self.now.time;
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.fingerprint_mismatches = if differs { known.fingerprint_mismatches + 1 } else { 0 };
    let is_due =
      known.table_sent_at.is_none_or(|at| now.since_ms(at) >= Self::SYNC_INTERVAL_MIN_MS);
    if known.fingerprint_mismatches >= Self::MISMATCHES_MAX && is_due {
      self.sync_endpoints_unless(link, fingerprint);
    }
  }

  /// On a relay, records the boxes of its data hall that no relay hears from.
  pub(super) fn track_silent_boxes(&mut self) {
    if !self.is_relay() {
      self.silent_boxes.clear();
      return;
    }
    let due = self.now.time.after(2 * self.identity.timing.silence_ms());
    let silent: Vec<(BoxId, Incarnation, u64)> = self
      .endpoints
      .present()
      .filter(|endpoint| self.is_silent(endpoint))
      .map(|endpoint| (endpoint.peer.box_id.clone(), endpoint.incarnation, endpoint.sequence))
      .collect();
    let still: BTreeSet<BoxId> = silent.iter().map(|(box_id, ..)| box_id.clone()).collect();
    self.silent_boxes.retain(|box_id, _| still.contains(box_id));
    for (box_id, incarnation, sequence) in silent {
      let known = self.silent_boxes.get(&box_id);
      if known.is_none_or(|(life, step, _)| (*life, *step) != (incarnation, sequence)) {
        self.silent_boxes.insert(box_id, (incarnation, sequence, due));
      }
    }
  }

  fn is_silent(&self, endpoint: &Endpoint) -> bool {
    let own = &self.own.peer;
    if endpoint.peer.box_id == own.box_id || endpoint.peer.data_hall != own.data_hall {
      return false;
    }
    let Some(relay) = &endpoint.relay else {
      return true;
    };
    if *relay == own.box_id {
      return !self
        .links
        .values()
        .any(|link| link.is_established() && link.peer == endpoint.peer.box_id);
    }
    !self.relays.has(relay)
  }

  /// Declares boxes lost whose silence has lasted long enough.
  pub(super) fn declare_lost(&mut self) {
    let now = self.now.time;
    let over: Vec<BoxId> = self
      .silent_boxes
      .iter()
      .filter(|(_, (.., due))| now >= *due)
      .map(|(box_id, _)| box_id.clone())
      .collect();
    for box_id in over {
      self.silent_boxes.remove(&box_id);
      let Some(mut endpoint) = self.endpoints.get(&box_id).cloned() else {
        continue;
      };
      endpoint.state = EndpointState::Lost;
      if self.endpoints.merge(now, endpoint) {
        self.log(format!("box {box_id} is lost: no relay hears from it"));
        self.queue_endpoint(&box_id, None);
        self.push_action(Action::EndpointsChanged);
      }
    }
  }
}
