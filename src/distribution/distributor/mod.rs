//! The state machine by which a daemon receives configurations and passes them on.

use super::*;

use super::{
  election::{Hall, Step},
  inquiries::{Asker, Ended},
  watcher::WatchResult,
};

mod endpoint_updates;
mod floor_discovery;
mod inquiries;
mod neighbours;
mod relay_list;
mod status;
mod store_watch;
mod subscriptions;
mod updates;

pub use self::status::Status;

use self::floor_discovery::FloorDiscovery;

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
  /// When the held version was applied.
  applied_at: Time,
  catalog: Catalog,
  /// When the store last confirmed that the held version is the newest.
  confirmed_at: Option<Time>,
  election: Election,
  endpoints: EndpointTable,
  /// When the queued endpoints are sent.
  endpoints_due: Option<Time>,
  floor_discovery: FloorDiscovery,
  /// When the last heartbeats were sent.
  heartbeat_sent_at: Time,
  identity: Identity,
  inquiries: Inquiries,
  /// The highest version that each subscriber's box is known to have held.
  known_versions: BTreeMap<BoxId, Version>,
  /// Number of the last call to the store.
  last_call: u64,
  links: BTreeMap<LinkId, Link>,
  /// When to connect to a relay again, by box.
  mesh_next_at: BTreeMap<BoxId, Time>,
  /// When the newest version is sent to relays that have not read it from the store.
  mesh_push_at: Time,
  now: Moment,
  /// The daemon's own endpoint, as last announced.
  own: Endpoint,
  /// When the newest version is sent to the subscribers.
  push_due: Option<Time>,
  relays: Relays,
  rng: ChaCha8Rng,
  /// Boxes that no relay hears from, with the incarnation and sequence last announced and the time
  /// at which they are declared lost.
  silent_boxes: BTreeMap<BoxId, (Incarnation, u64, Time)>,
  /// The store's newest version if it is older than the held one.
  store_behind: Option<Version>,
  upstream: Upstream,
  watcher: Watcher,
}

impl Distributor {
  /// Largest number of subscribers: twice the number of boxes for which there is one relay.
  const DOWNSTREAM_MAX: usize = 2 * Relays::BOXES_PER_RELAY;
  /// Milliseconds between two ticks.
  pub const TICK_MS: u64 = 50;

  /// Creates the state machine of a daemon that holds no configuration.
  pub fn new(now: Moment, seed: u64, identity: Identity) -> Self {
    let own = identity.endpoint.clone();
    let mut distributor = Self {
      actions: Vec::new(),
      announcing: BTreeSet::new(),
      applied_at: now.time,
      catalog: Catalog::default(),
      confirmed_at: None,
      election: Election::default(),
      endpoints: EndpointTable::default(),
      endpoints_due: None,
      floor_discovery: FloorDiscovery::new(now.time, &identity),
      heartbeat_sent_at: now.time,
      identity,
      inquiries: Inquiries::default(),
      known_versions: BTreeMap::new(),
      last_call: 0,
      links: BTreeMap::new(),
      mesh_next_at: BTreeMap::new(),
      mesh_push_at: now.time,
      now,
      own: own.clone(),
      push_due: None,
      relays: Relays::default(),
      rng: ChaCha8Rng::seed_from_u64(seed),
      silent_boxes: BTreeMap::new(),
      store_behind: None,
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
      Event::Accepted { version } => self.newer_version_accepted(version, None),
      Event::Asked { question, token } => self.operator_query_received(&question, token),
      Event::RecordsQueried { id, reports } => self.inquiries.consulted(id, reports),
      Event::EndpointServes { service, slots, starts, .. } => {
        self.change_service(service, slots, starts);
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
    self.tick_floor_discovery();
    self.tick_mesh();
    self.close_silent_links();
    self.push_updates();
    self.send_queued_endpoints();
    if self.now.time.since_ms(self.heartbeat_sent_at) >= self.identity.timing.heartbeat_ms {
      self.heartbeat_sent_at = self.now.time;
      self.track_silent_boxes();
      self.endpoints.expire(self.now.time);
      self.send_heartbeats(|_| true);
    }
    self.declare_lost();
  }

  fn received(&mut self, link: LinkId, message: Message) {
    let Some(known) = self.links.get_mut(&link) else {
      return;
    };
    known.last_received_at = self.now.time;
    match message {
      Message::Accepted { version } => self.newer_version_accepted(version, Some(link)),
      Message::Answer { asked, id, reports } => {
        self.inquiry_answered(link, id, asked, reports);
      }
      Message::Ask { hops, id, question } => self.query_received(link, hops, id, &question),
      Message::Heartbeat(heartbeat) => self.heartbeat_received(link, &heartbeat),
      // Software rollouts are ordered on an outer platform only.
      Message::Evacuations(_) | Message::Evidence(_) | Message::Rollout(_) => {}
      Message::Endpoints(endpoints) => self.endpoints_received(link, endpoints),
      Message::Redirect { floor, relays } => self.redirect_received(link, floor, relays),
      Message::Refused { reason } => self.refusal_received(link, reason),
      Message::Relays(relays) => self.relays_received(link, relays),
      Message::Subscribe(subscribe) => self.subscribe_received(link, &subscribe),
      Message::Update(update) => self.packed_update_received(link, &update),
      Message::Welcome { floor, is_relay, relays } => {
        self.welcome_received(link, floor, is_relay, relays);
      }
    }
  }

  fn push_action(&mut self, action: Action) {
    self.actions.push(action);
  }

  fn send(&mut self, link: LinkId, message: Message) {
    self.push_action(Action::Send { link, message });
  }

  fn log(&mut self, text: impl Into<String>) {
    self.push_action(Action::Log(text.into()));
  }

  fn call_store(&mut self, request: StoreRequest) {
    self.last_call += 1;
    let call = self.last_call;
    self.push_action(Action::CallStore { call, request });
  }

  /// The number that the next call to the store will have.
  fn next_call(&self) -> u64 {
    self.last_call + 1
  }

  fn is_relay(&self) -> bool {
    self.election.held().is_some()
  }

  fn established_links(&self, role: LinkRole) -> impl Iterator<Item = (LinkId, &Link)> {
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
