//! The state machine of a daemon that follows a store which every daemon may watch.

use super::*;

use super::inquiry::Asker;

mod asking;
mod following;
mod neighbours;

/// Decides how a daemon holds the newest configuration and the news about all boxes where each
/// daemon may watch the platform's store itself.
///
/// Somebody else accepts configurations; a [`Source`] reads them out of the store. Each daemon keeps
/// an entry of its own there, under a lease. A daemon that the store does not serve subscribes to
/// two neighbours, which pass on configurations and news, and keep its entry in the store alive.
#[derive(Debug)]
pub struct Follower {
  actions: Vec<Action>,
  beat_at: Time,
  catalog: Catalog,
  /// When the store last answered anything.
  confirmed_at: Option<Time>,
  /// Boxes to which links are being opened, with when that began.
  connecting: BTreeMap<BoxId, Time>,
  endpoints: EndpointTable,
  /// When the store stopped answering this daemon; nothing while it answers.
  failing_since: Option<Time>,
  identity: Identity,
  inquiries: Inquiries,
  last_call: u64,
  /// Boxes whose entry left the store, with when that was seen.
  lapsed: BTreeMap<BoxId, Time>,
  links: BTreeMap<LinkId, Link>,
  neighbour_at: Time,
  now: Moment,
  own: Endpoint,
  registration: Registration,
  rng: ChaCha8Rng,
  source: Arc<dyn Source>,
  /// Boxes whose entry this daemon keeps in the store for them.
  sponsored: BTreeSet<BoxId>,
  watch: WatchPhase,
  watch_failures: u32,
}

/// Where the watch on the store stands.
#[derive(Clone, Copy, Debug)]
enum WatchPhase {
  Backoff {
    until: Time,
  },
  /// Changes came a moment ago; those that follow soon are read with the next call.
  Gathering {
    after: Revision,
    until: Time,
  },
  Listing {
    call: u64,
  },
  Watching {
    call: u64,
  },
}

impl Follower {
  /// Milliseconds between two ticks that mean that the process stood still: many ticks' worth.
  const FROZEN_MS: u64 = 20 * Distributor::TICK_MS;

  /// A daemon that holds nothing yet.
  pub fn new(now: Moment, seed: u64, identity: Identity, source: Arc<dyn Source>) -> Self {
    let own = identity.endpoint.clone();
    let mut endpoints = EndpointTable::default();
    endpoints.merge(now.time, own.clone());
    Self {
      actions: Vec::new(),
      beat_at: now.time,
      catalog: Catalog::default(),
      confirmed_at: None,
      connecting: BTreeMap::new(),
      endpoints,
      failing_since: None,
      identity,
      inquiries: Inquiries::default(),
      last_call: 0,
      lapsed: BTreeMap::new(),
      links: BTreeMap::new(),
      neighbour_at: now.time,
      now,
      own,
      registration: Registration::default(),
      rng: ChaCha8Rng::seed_from_u64(seed),
      source,
      sponsored: BTreeSet::new(),
      watch: WatchPhase::Backoff { until: now.time },
      watch_failures: 0,
    }
  }

  fn tick(&mut self, stood_still_ms: u64) {
    if stood_still_ms > Self::FROZEN_MS {
      self.log(format!("the process stood still for {stood_still_ms} ms: the store is read anew"));
      self.registration.wake();
      self.watch = WatchPhase::Backoff { until: self.now.time };
    }
    self.tick_registration();
    self.tick_watch();
    self.declare_lost();
    self.tick_neighbours();
  }

  fn act(&mut self, action: Action) {
    self.actions.push(action);
  }

  fn send(&mut self, link: LinkId, message: Message) {
    self.act(Action::Send { link, message });
  }

  fn log(&mut self, text: impl Into<String>) {
    self.act(Action::Log(text.into()));
  }

  fn call_store(&mut self, request: StoreRequest) -> u64 {
    self.last_call += 1;
    self.act(Action::CallStore { call: self.last_call, request });
    self.last_call
  }

  /// Announces the box's own news with the next sequence.
  fn announce(&mut self) {
    self.own.sequence += 1;
    self.endpoints.merge(self.now.time, self.own.clone());
    self.act(Action::EndpointsChanged);
    let own = self.own.clone();
    self.spread(std::slice::from_ref(&own), None);
    self.tick_registration();
  }

  fn change_service(&mut self, service: ServiceName, slots: u32) {
    if self.own.service != service || self.own.slots != slots {
      self.own.service = service;
      self.own.slots = slots;
      self.announce();
    }
  }

  fn change_state(&mut self, state: EndpointState) {
    if self.own.state != state && self.own.state != EndpointState::Leaving {
      self.own.state = state;
      self.announce();
    }
  }

  /// Takes in news about a box. Returns whether it was new.
  fn take_news(&mut self, endpoint: &Endpoint) -> bool {
    if endpoint.peer.box_id == self.own.peer.box_id {
      self.take_own_news(endpoint);
      return false;
    }
    if !endpoint.state.is_gone() {
      self.lapsed.remove(&endpoint.peer.box_id);
    }
    self.endpoints.merge(self.now.time, endpoint.clone())
  }

  /// News about this box that this life did not announce comes from an earlier life, whose clock may
  /// have been ahead, or from somebody who holds the box for lost.
  fn take_own_news(&mut self, endpoint: &Endpoint) {
    if !endpoint.is_newer_than(&self.own) {
      return;
    }
    if endpoint.incarnation > self.own.incarnation {
      self.own.incarnation = endpoint.incarnation.next();
    }
    self.own.sequence = self.own.sequence.max(endpoint.sequence);
    self.announce();
  }
}

impl Distribution for Follower {
  fn catalog(&self) -> &Catalog {
    &self.catalog
  }

  fn endpoints(&self) -> &EndpointTable {
    &self.endpoints
  }

  fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
    let stood_still_ms = now.time.since_ms(self.now.time);
    self.now = now;
    match event {
      Event::Accepted { .. } => {}
      Event::Asked { question, token } => self.asked(&question, token),
      Event::Consulted { id, reports } => self.inquiries.consulted(id, reports),
      Event::EndpointServes { service, slots } => self.change_service(service, slots),
      Event::EndpointState(state) => self.change_state(state),
      Event::LinkClosed { link } => self.link_closed(link),
      Event::LinkFailed { box_id } => {
        self.connecting.remove(&box_id);
      }
      Event::LinkOpened { link, outbound, peer } => self.link_opened(link, outbound, &peer),
      Event::Received { link, message } => self.received(link, message),
      Event::StoreAnswered { call, result } => self.store_answered(call, &result),
      Event::Tick => self.tick(stood_still_ms),
    }
    self.finish_inquiries();
    std::mem::take(&mut self.actions)
  }

  fn own_endpoint(&self) -> &Endpoint {
    &self.own
  }

  fn status(&self) -> Status {
    let upstream = self.links.values().find(|link| link.role == LinkRole::Upstream);
    let downstream = self.links.values().filter(|link| link.role == LinkRole::Downstream);
    Status {
      downstream: downstream.count(),
      mesh: 0,
      relays: Relays::default(),
      slot: None,
      store_age_ms: self.confirmed_at.map(|at| self.now.time.since_ms(at)),
      store_behind: None,
      upstream: upstream.map(|link| link.peer.clone()),
      version: self.catalog.version(),
    }
  }
}
