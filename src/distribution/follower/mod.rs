//! State machine of a daemon that follows a store to which others write the configuration.

use super::*;

use {
  self::{endpoint_updates::UnsentEndpoint, reconnects::Reconnect},
  super::{
    inquiries::{Asker, Ended},
    watchers::Watchers,
  },
};

mod directory;
mod endpoint_updates;
mod era;
mod evacuations;
mod inquiries;
mod neighbours;
mod reconnects;
mod rollouts;
mod silent_watches;
mod store_watch;
mod updates;

/// Keeps a daemon's configuration and its view of the fleet's boxes up to date where the platform's
/// operators write configurations into the store themselves.
///
/// A [`Source`] reads configurations from the store. Each daemon holds an entry of its own there
/// under a lease. A few boxes of each data hall watch the store (see [`Watchers`]) and subscribe to
/// each other in a ring; all other boxes subscribe to two of them. A daemon whose neighbours are
/// silent, or have no recent answer from the store, watches the store itself until they have one,
/// so a watcher may fail at any moment. A watcher that the store does not serve subscribes to other
/// boxes, which keep its entry alive.
#[derive(Debug)]
pub struct Follower {
  actions: Vec<Action>,
  /// Boxes to which no link is opened until the given time, because the last link failed.
  avoided: BTreeMap<BoxId, Time>,
  /// When a neighbour was first seen to hold a newer version than this daemon.
  behind_since: Option<Time>,
  catalog: Catalog,
  /// Services that lost a box to another service and whose versions have not been evaluated since.
  changed_services: BTreeSet<ServiceName>,
  /// When the store, or a neighbour in contact with it, last confirmed the held version.
  confirmed_at: Option<Time>,
  /// Boxes to which links are being opened, with the time at which that began.
  connecting: BTreeMap<BoxId, Time>,
  /// When the store last answered this daemon.
  contact_at: Option<Time>,
  /// When the next read of the directory is due.
  directory_at: Time,
  /// The outstanding read of the directory.
  directory_call: Option<u64>,
  /// The store's revision at the newest read of the directory. Older answers are ignored.
  directory_revision: Revision,
  endpoints: EndpointTable,
  /// When changed endpoints were last sent out.
  endpoints_sent_at: Time,
  /// Boxes whose entry this daemon writes to the store on their behalf.
  entries_for_others: BTreeSet<BoxId>,
  /// The newest era of the store that is known; `None` before its first answer.
  era: Option<Era>,
  evacuations: Evacuations,
  /// When the store stopped answering this daemon; `None` while it answers.
  failing_since: Option<Time>,
  /// When this daemon first considered the fleet formed.
  formed_at: Option<Time>,
  heartbeat_sent_at: Time,
  identity: Identity,
  inquiries: Inquiries,
  /// Boxes whose entry disappeared from the store, with the time at which that was noticed.
  lapsed: BTreeMap<BoxId, Time>,
  last_call: u64,
  links: BTreeMap<LinkId, Link>,
  /// Boxes whose entry this daemon has seen in the store.
  listed: BTreeSet<BoxId>,
  /// The newest revision up to which a neighbour that holds no newer version has seen all changes.
  neighbours_revision: Option<Revision>,
  /// The newest version that this daemon was notified of, held or not.
  newest_known: Version,
  now: Moment,
  /// Number of other boxes known at the last read of the directory.
  others_known: usize,
  own: Endpoint,
  /// Boxes whose links ended unexpectedly.
  reconnects: BTreeMap<BoxId, Reconnect>,
  /// The version from the store that was refused last; `None` once that version or a later one is
  /// held. Meanwhile only neighbours can bring this daemon forward.
  refused: Option<RefusedVersion>,
  registration: Registration,
  rng: ChaCha8Rng,
  /// Pending store calls for roll-outs, with their services.
  rollout_calls: BTreeMap<u64, ServiceName>,
  rollouts: Rollouts,
  source: Arc<dyn Source>,
  started_at: Time,
  /// When the last tick was handled. After a pause of the process, other events may be handled
  /// before the next tick.
  ticked_at: Time,
  /// The versions and their shares last published to this box's proxies; `None` before the fleet is
  /// known.
  traffic: Option<BTreeMap<ServiceName, Traffic>>,
  /// Boxes known from links only, without an entry in the store, with the time at which that was
  /// noticed.
  unlisted: BTreeMap<BoxId, Time>,
  /// Entries that could not be decoded at the last read of the directory.
  unreadable: BTreeMap<Key, UnreadableEntry>,
  /// The newest states of endpoints that have been merged but not sent out yet.
  unsent_endpoints: BTreeMap<BoxId, UnsentEndpoint>,
  /// Observations of backend servers' answers that wait to be forwarded, with the link they came
  /// from.
  unsent_evidence: Vec<(Option<LinkId>, Evidence)>,
  watch: WatchPhase,
  watch_failures: u32,
  /// When a neighbour brought a change that the pending watch has not reported yet.
  watch_lagging_since: Option<Time>,
  watchers: Watchers,
}

/// A version in the store that this daemon refused.
#[derive(Clone, Debug)]
struct RefusedVersion {
  /// The version in force at the time of the refusal, or else the first one after it.
  held: Option<Version>,
  /// When the refusal is logged again.
  log_at: Time,
  reason: String,
  since: Time,
  /// `None` if not even the version could be read.
  version: Option<Version>,
}

/// State of the watch on the store's configuration.
#[derive(Clone, Copy, Debug)]
enum WatchPhase {
  /// The store did not serve the last call. A watch resumes from `after`.
  Backoff {
    after: Option<Revision>,
    until: Time,
  },
  /// Changes have just arrived; further ones are batched into the next call.
  Batching {
    after: Revision,
    until: Time,
  },
  /// Neighbours report changes. A watch resumes from `after`, if known.
  Idle {
    after: Option<Revision>,
  },
  Listing {
    call: u64,
    /// Whether the answer may be some seconds old.
    may_be_stale: bool,
  },
  Watching {
    after: Revision,
    call: u64,
  },
}

impl Follower {
  /// Gap between two ticks, in milliseconds, that counts as a pause of the process: 20 missed
  /// ticks.
  const PROCESS_PAUSE_MIN_MS: u64 = 20 * Distributor::TICK_MS;

  /// Creates a daemon that holds no configuration yet.
  pub fn new(now: Moment, seed: u64, identity: Identity, source: Arc<dyn Source>) -> Self {
    let own = identity.endpoint.clone();
    let watchers = Watchers::new(own.peer.data_hall.clone());
    let mut endpoints = EndpointTable::default();
    endpoints.merge(now.time, own.clone());
    Self {
      actions: Vec::new(),
      avoided: BTreeMap::new(),
      behind_since: None,
      catalog: Catalog::default(),
      changed_services: BTreeSet::new(),
      confirmed_at: None,
      connecting: BTreeMap::new(),
      contact_at: None,
      directory_at: now.time,
      directory_call: None,
      directory_revision: Revision::default(),
      endpoints,
      endpoints_sent_at: Time::default(),
      entries_for_others: BTreeSet::new(),
      era: None,
      evacuations: Evacuations::default(),
      failing_since: None,
      formed_at: None,
      heartbeat_sent_at: now.time,
      identity,
      inquiries: Inquiries::default(),
      lapsed: BTreeMap::new(),
      last_call: 0,
      links: BTreeMap::new(),
      listed: BTreeSet::new(),
      neighbours_revision: None,
      newest_known: Version(0),
      now,
      others_known: 0,
      own,
      reconnects: BTreeMap::new(),
      refused: None,
      registration: Registration::default(),
      rng: ChaCha8Rng::seed_from_u64(seed),
      rollout_calls: BTreeMap::new(),
      rollouts: Rollouts::default(),
      source,
      started_at: now.time,
      ticked_at: now.time,
      traffic: None,
      unlisted: BTreeMap::new(),
      unreadable: BTreeMap::new(),
      unsent_endpoints: BTreeMap::new(),
      unsent_evidence: Vec::new(),
      watch: WatchPhase::Backoff { after: None, until: now.time },
      watch_failures: 0,
      watch_lagging_since: None,
      watchers,
    }
  }

  fn tick(&mut self) {
    let paused_ms = self.now.time.since_ms(self.ticked_at);
    self.ticked_at = self.now.time;
    if paused_ms > Self::PROCESS_PAUSE_MIN_MS {
      self.log(format!("the process was paused for {paused_ms} ms: querying the store again"));
      self.confirmed_at = None;
      self.registration.renew_at_once();
      self.directory_at = self.now.time;
      self.watch = WatchPhase::Idle { after: self.watch_revision() };
    }
    if self.now.time.since_ms(self.started_at) >= Self::FORMING_MS {
      self.formed_at.get_or_insert(self.now.time);
    }
    self.tick_registration();
    self.tick_watch();
    self.tick_directory();
    self.declare_lost();
    self.tick_refused();
    self.tick_neighbours();
    self.tick_reconnects();
    self.send_endpoints();
    self.tick_rollouts();
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

  /// Whether this box is a watcher of the store for its data hall.
  fn is_watcher(&self) -> bool {
    self.watchers.is_in_own_hall(&self.own.peer.box_id)
  }

  /// Whether the whole fleet is starting and its boxes are still coming up. Choosing watchers from
  /// the first boxes seen would replace them moments later; the extra links, watches and directory
  /// reads would then cost more than everything that follows.
  fn is_forming(&self) -> bool {
    self.formed_at.is_none()
  }

  /// Whether the daemon has not had enough time to find its neighbours.
  fn is_settling(&self) -> bool {
    self.formed_at.is_none_or(|at| self.now.time.since_ms(at) < Self::SETTLING_MS)
  }

  /// Publishes the box's own endpoint with the next sequence number.
  fn announce(&mut self) {
    self.own.sequence += 1;
    self.endpoints.merge(self.now.time, self.own.clone());
    let own = self.own.clone();
    self.endpoints_merged(std::slice::from_ref(&own), None);
    // The version of its backend server may be in force already, even while no request waits for
    // one.
    self.note_versions(std::slice::from_ref(&own));
    self.tick_registration();
  }

  fn change_service(
    &mut self,
    service: ServiceName,
    software: Option<SoftwareVersion>,
    slots: u32,
    starts: u32,
  ) {
    let own = &mut self.own;
    let is_same = own.service == service && own.software == software;
    if !is_same || own.slots != slots || own.backend_starts != starts {
      own.backend_starts = starts;
      own.service = service;
      own.slots = slots;
      own.software = software;
      self.announce();
    }
  }

  fn change_state(&mut self, state: EndpointState) {
    if self.own.state != state && self.own.state != EndpointState::Leaving {
      self.own.state = state;
      self.announce();
    }
  }

  /// Publishes to the fleet how requests ended at this box's backend server.
  fn runs_ended(&mut self, what: RunOutcome) {
    self.own.add_finding(RunFinding { id: self.rng.random(), outcome: what });
    self.announce();
  }

  /// Handles an endpoint of this box that this incarnation did not publish. It comes from an
  /// earlier incarnation, whose clock may have been ahead, or from a box that considers this one
  /// lost.
  pub(super) fn merge_own_endpoint(&mut self, endpoint: &Endpoint) {
    self.restore_findings(endpoint);
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

impl Follower {
  /// Republishes the findings of an earlier incarnation of this box. Otherwise a fleet that is
  /// killed as a whole would forget which requests crash its backend servers, and lose backend
  /// servers to learn it again.
  fn restore_findings(&mut self, earlier: &Endpoint) {
    let is_earlier = earlier.incarnation < self.own.incarnation;
    if is_earlier && self.own.findings.is_empty() && !earlier.findings.is_empty() {
      self.own.findings.clone_from(&earlier.findings);
      self.announce();
    }
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
    self.now = now;
    match event {
      Event::Accepted { .. } => {}
      Event::Asked { question, token } => self.operator_asked(&question, token),
      Event::RecordsQueried { id, reports } => self.inquiries.consulted(id, reports),
      Event::EndpointServes { service, slots, software, starts } => {
        self.change_service(service, software, slots, starts);
      }
      Event::EndpointState(state) => self.change_state(state),
      Event::LinkClosed { link } => self.link_lost(link),
      Event::LinkFailed { box_id } => self.link_failed(&box_id),
      Event::LinkOpened { link, outbound, peer } => self.link_opened(link, outbound, &peer),
      Event::Received { link, message } => self.received(link, message),
      Event::RolloutObserved(evidence) => self.evidence_received(None, vec![evidence]),
      Event::RunsEnded(what) => self.runs_ended(what),
      Event::StoreAnswered { call, era, result } => {
        if !self.note_era(era) {
          self.store_answered(call, &result);
        }
      }
      Event::Tick => self.tick(),
    }
    self.finish_inquiries();
    std::mem::take(&mut self.actions)
  }

  fn own_endpoint(&self) -> &Endpoint {
    &self.own
  }

  fn rollout(&self, service: &ServiceName) -> Option<&Rollout> {
    self.rollouts.get(service)
  }

  fn status(&self) -> Status {
    let upstream = self.links.values().find(|link| link.role == LinkRole::Upstream);
    let downstream = self.links.values().filter(|link| link.role == LinkRole::Downstream);
    Status {
      downstream: downstream.count(),
      mesh: 0,
      relays: Relays::default(),
      slot: self.is_watcher().then(|| "watches the store".to_string()),
      store_age_ms: self.confirmed_at.map(|at| self.now.time.since_ms(at)),
      store_behind: None,
      upstream: upstream.map(|link| link.peer.clone()),
      version: self.catalog.version(),
    }
  }

  fn unreadable_entry(&self, box_id: &BoxId) -> Option<&UnreadableEntry> {
    self.unreadable.get(&keys::endpoint(box_id))
  }
}
