//! The state machine by which a daemon receives configurations and passes them on.

use super::*;

use super::{
  election::{Hall, Step},
  inquiry::Asker,
  watcher::Seen,
};

mod asking;
mod floor;
mod linking;
mod news;
mod pushing;
mod relaying;
mod serving;
mod status;
mod storing;

pub use self::status::Status;

use self::floor::Floor;

/// Keeps a daemon's configuration current and passes it on.
///
/// Every daemon runs one distributor. A daemon that holds a relay slot of its data hall watches the
/// store, connects to all other relays and serves the other boxes of its data hall. All other
/// daemons subscribe to a relay. Newer configurations and endpoints are sent to every neighbour
/// that lacks them, whatever its role.
#[derive(Clone, Debug)]
pub struct Distributor {
  actions: Vec<Action>,
  /// Boxes to which a link is being opened to announce this relay.
  announcing: BTreeSet<BoxId>,
  /// When the last heartbeats were sent.
  beat_at: Time,
  catalog: Catalog,
  /// When the store last confirmed that the held version is the newest.
  confirmed_at: Option<Time>,
  /// Boxes that no relay hears from, with the incarnation and sequence last announced and the time
  /// at which they are declared lost.
  departures: BTreeMap<BoxId, (Incarnation, u64, Time)>,
  election: Election,
  endpoints: EndpointTable,
  floor: Floor,
  identity: Identity,
  inquiries: Inquiries,
  /// Number of the last call to the store.
  last_call: u64,
  links: BTreeMap<LinkId, Link>,
  /// When the newest version is sent to relays that have not read it from the store.
  mesh_push_at: Time,
  /// When to connect to a relay again, by box.
  mesh_next_at: BTreeMap<BoxId, Time>,
  /// When the queued endpoints are sent.
  news_due: Option<Time>,
  now: Moment,
  /// The daemon's own endpoint, as last announced.
  own: Endpoint,
  /// When the newest version is sent to the subscribers.
  push_due: Option<Time>,
  /// The highest version that each subscriber's box is known to have held.
  records: BTreeMap<BoxId, Version>,
  relays: Relays,
  rng: ChaCha8Rng,
  /// The store's newest version if it is older than the held one.
  store_behind: Option<Version>,
  /// When the held version was applied.
  switched_at: Time,
  upstream: Upstream,
  watcher: Watcher,
}

impl Distributor {
  /// Largest number of subscribers: twice the number of boxes for which there is one relay.
  const DOWNSTREAM_MAX: usize = 2 * Relays::SHARE;
  /// Milliseconds between two ticks.
  pub const TICK_MS: u64 = 50;

  /// Creates the state machine of a daemon that holds no configuration.
  pub fn new(now: Moment, seed: u64, identity: Identity) -> Self {
    let own = identity.endpoint.clone();
    let mut distributor = Self {
      actions: Vec::new(),
      announcing: BTreeSet::new(),
      beat_at: now.time,
      catalog: Catalog::default(),
      confirmed_at: None,
      departures: BTreeMap::new(),
      election: Election::default(),
      endpoints: EndpointTable::default(),
      floor: Floor::new(now.time, &identity),
      identity,
      inquiries: Inquiries::default(),
      last_call: 0,
      links: BTreeMap::new(),
      mesh_push_at: now.time,
      mesh_next_at: BTreeMap::new(),
      news_due: None,
      now,
      own: own.clone(),
      push_due: None,
      records: BTreeMap::new(),
      relays: Relays::default(),
      rng: ChaCha8Rng::seed_from_u64(seed),
      store_behind: None,
      switched_at: now.time,
      upstream: Upstream::default(),
      watcher: Watcher::default(),
    };
    distributor.endpoints.merge(now.time, own);
    distributor
  }

  /// Handles one event and returns the actions to perform, in order.
  pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
    self.now = now;
    match event {
      Event::Accepted { version } => self.accepted(version, None),
      Event::Asked { question, token } => self.asked(&question, token),
      Event::Consulted { id, reports } => self.inquiries.consulted(id, reports),
      Event::EndpointServes { service, slots, starts, .. } => {
        self.own.backend_starts = starts;
        self.own.service = service;
        self.own.slots = slots;
      }
      Event::EndpointState(state) => self.change_state(state),
      Event::LinkClosed { link } => self.link_closed(link),
      Event::LinkFailed { box_id } => self.link_failed(&box_id),
      Event::LinkOpened { link, outbound, peer } => self.link_opened(link, outbound, &peer),
      Event::Received { link, message } => self.received(link, message),
      // Software rollouts are not ordered where the daemons accept the configurations.
      Event::RolloutObserved(_) => {}
      Event::RunsEnded(what) => self.runs_ended(what),
      Event::StoreAnswered { call, result, .. } => self.store_answered(call, &result),
      Event::Tick => self.tick(),
    }
    self.finish_inquiries();
    std::mem::take(&mut self.actions)
  }

  fn tick(&mut self) {
    self.tick_election();
    self.tick_watcher();
    self.tick_upstream();
    self.tick_floor();
    self.tick_mesh();
    self.close_silent_links();
    self.push_updates();
    self.flush_news();
    if self.now.time.since_ms(self.beat_at) >= self.identity.timing.beat_ms {
      self.beat_at = self.now.time;
      self.note_departures();
      self.endpoints.expire(self.now.time);
      self.send_beats(|_| true);
    }
    self.declare_lost();
  }

  fn received(&mut self, link: LinkId, message: Message) {
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.heard_at = self.now.time;
    match message {
      Message::Accepted { version } => self.accepted(version, Some(link)),
      Message::Answer { id, reports } => self.inquiry_answered(link, id, reports),
      Message::Ask { hops, id, question } => self.neighbour_asked(link, hops, id, &question),
      Message::Beat(beat) => self.beat_received(link, &beat),
      // Software rollouts are ordered on an outer platform only.
      Message::Evacuations(_) | Message::Evidence(_) | Message::Rollout(_) => {}
      Message::News(endpoints) => self.news_received(link, endpoints),
      Message::Redirect { floor, relays } => self.redirected(link, floor, relays),
      Message::Refused { reason } => self.update_refused(link, reason),
      Message::Relays(relays) => self.relays_received(link, relays),
      Message::Subscribe(subscribe) => self.subscription_asked(link, &subscribe),
      Message::Update(update) => self.packed_received(link, &update),
      Message::Welcome { floor, is_relay, relays } => {
        self.welcomed(link, floor, is_relay, relays);
      }
    }
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

  fn call_store(&mut self, request: StoreRequest) {
    self.last_call += 1;
    let call = self.last_call;
    self.act(Action::CallStore { call, request });
  }

  /// The number that the next call to the store will have.
  fn next_call(&self) -> u64 {
    self.last_call + 1
  }

  fn is_relay(&self) -> bool {
    self.election.held().is_some()
  }

  fn settled_links(&self, role: LinkRole) -> impl Iterator<Item = (LinkId, &Link)> {
    self.links.iter().filter(move |(_, link)| link.role == role).map(|(id, link)| (*id, link))
  }

  /// Known number of boxes in this box's data hall.
  fn data_hall_size(&self) -> usize {
    let own = &self.own.peer.data_hall;
    let present = self.endpoints.present().filter(|endpoint| endpoint.peer.data_hall == *own);
    let listed = self.identity.seeds.iter().filter(|peer| peer.data_hall == *own);
    present.count().max(listed.count())
  }
}
