//! The state machine of a daemon that follows a store in which somebody else accepts changes.

use super::*;

use {
  self::{news::UntoldNews, returning::Returning},
  super::{inquiries::Asker, watchers::Watchers},
};

mod asking;
mod directory;
mod era;
mod evacuating;
mod following;
mod neighbours;
mod news;
mod returning;
mod rollouts;
mod silence;
mod updates;

/// Decides how a daemon holds the newest configuration and the news about all boxes where the
/// platform's operators write configurations into the store themselves.
///
/// A [`Source`] reads configurations out of the store. Each daemon keeps an entry of its own there,
/// under a lease. A few boxes of each data hall watch the store, see [`Watchers`], and hear from each other
/// in a ring; all others subscribe to two of these. A daemon whose neighbours are silent, or have not heard
/// from the store themselves, watches it until they have: so a watcher may fail at any moment. A watcher that
/// the store does not serve subscribes to others, which keep its entry alive.
#[derive(Debug)]
pub struct Follower {
  actions: Vec<Action>,
  /// Boxes to which no link is tried until then, for the last one failed.
  avoided: BTreeMap<BoxId, Time>,
  beat_at: Time,
  /// Since when a neighbour is known to hold a newer version than this daemon.
  behind_since: Option<Time>,
  catalog: Catalog,
  /// Services that lost a box to another one, and whose versions were not looked at since.
  changed_services: BTreeSet<ServiceName>,
  /// When the store, or somebody who heard from it, last confirmed what is held.
  confirmed_at: Option<Time>,
  /// Boxes to which links are being opened, with when that began.
  connecting: BTreeMap<BoxId, Time>,
  /// When the store last answered this daemon.
  contact_at: Option<Time>,
  /// When the next read of the directory is due.
  directory_at: Time,
  /// The outstanding read of the directory.
  directory_call: Option<u64>,
  /// The store's revision at the newest read of the directory. An older one says nothing new.
  directory_revision: Revision,
  endpoints: EndpointTable,
  /// The newest era of the store that anybody told of; nothing before its first answer.
  era: Option<Era>,
  evacuations: Evacuations,
  /// What boxes saw of their backend servers' answers and was not told on yet, with the link that it came by.
  evidence: Vec<(Option<LinkId>, Evidence)>,
  /// When the store stopped answering this daemon; nothing while it answers.
  failing_since: Option<Time>,
  /// When the fleet was formed, as this daemon sees it.
  formed_at: Option<Time>,
  /// How many other boxes were known at the last read of the directory.
  others_known: usize,
  identity: Identity,
  inquiries: Inquiries,
  last_call: u64,
  /// Boxes whose entry left the store, with when that was seen.
  lapsed: BTreeMap<BoxId, Time>,
  links: BTreeMap<LinkId, Link>,
  /// Boxes whose entry this daemon saw in the store.
  listed: BTreeSet<BoxId>,
  /// The newest version that anybody told of.
  newest_known: Version,
  /// Boxes that are known by links only, with when that was seen.
  newcomers: BTreeMap<BoxId, Time>,
  /// Up to where a neighbour that holds nothing newer has seen the store's changes.
  neighbours_revision: Option<Revision>,
  /// When news about boxes were told last.
  news_told_at: Time,
  now: Moment,
  /// Since when the watch that waits has not told of a change that a neighbour brought.
  outrun_since: Option<Time>,
  own: Endpoint,
  /// What of the store's was not taken last; nothing once that version or a later one is held. Meanwhile
  /// the store cannot bring this daemon forward, and only neighbours can.
  refused: Option<RefusedVersion>,
  registration: Registration,
  /// Boxes whose links ended without a word.
  returning: BTreeMap<BoxId, Returning>,
  rng: ChaCha8Rng,
  /// Calls to the store for roll-outs, by service.
  rollout_calls: BTreeMap<u64, ServiceName>,
  rollouts: Rollouts,
  source: Arc<dyn Source>,
  /// Boxes whose entry this daemon keeps in the store for them.
  kept_entries: BTreeSet<BoxId>,
  started_at: Time,
  /// When time passed last. Other events may come before a tick after the process stood still.
  ticked_at: Time,
  /// What the proxies of this box were told last of versions and their shares; nothing before the fleet is known.
  traffic: Option<BTreeMap<ServiceName, Traffic>>,
  /// The newest news about boxes that were taken in and not told yet.
  untold_news: BTreeMap<BoxId, UntoldNews>,
  /// Entries that the last read of the directory found unreadable.
  unreadable: BTreeMap<Key, UnreadableEntry>,
  watch: WatchPhase,
  watch_failures: u32,
  watchers: Watchers,
}

/// A version in the store that this daemon did not take.
#[derive(Clone, Debug)]
struct RefusedVersion {
  /// The version that was in force then, or the first one after it.
  held: Option<Version>,
  /// When the log is told again.
  log_at: Time,
  reason: String,
  since: Time,
  /// Nothing where not even that could be read.
  version: Option<Version>,
}

/// Where the watch on the store stands.
#[derive(Clone, Copy, Debug)]
enum WatchPhase {
  /// The store did not serve the last call. A watch goes on from where it was.
  Backoff {
    after: Option<Revision>,
    until: Time,
  },
  /// Changes came a moment ago; those that follow soon are read with the next call.
  Gathering {
    after: Revision,
    until: Time,
  },
  Listing {
    call: u64,
    /// Whether the answer may be some seconds old.
    may_be_old: bool,
  },
  /// Neighbours tell what changes. The watch goes on from a revision where one was seen.
  Resting {
    after: Option<Revision>,
  },
  Watching {
    after: Revision,
    call: u64,
  },
}

impl Follower {
  /// Milliseconds between two ticks that mean that the process stood still: many ticks' worth.
  const FROZEN_MS: u64 = 20 * Distributor::TICK_MS;

  /// A daemon that holds nothing yet.
  pub fn new(now: Moment, seed: u64, identity: Identity, source: Arc<dyn Source>) -> Self {
    let own = identity.endpoint.clone();
    let watchers = Watchers::new(own.peer.data_hall.clone());
    let mut endpoints = EndpointTable::default();
    endpoints.merge(now.time, own.clone());
    Self {
      actions: Vec::new(),
      avoided: BTreeMap::new(),
      beat_at: now.time,
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
      era: None,
      evacuations: Evacuations::default(),
      evidence: Vec::new(),
      failing_since: None,
      formed_at: None,
      identity,
      inquiries: Inquiries::default(),
      last_call: 0,
      lapsed: BTreeMap::new(),
      links: BTreeMap::new(),
      listed: BTreeSet::new(),
      neighbours_revision: None,
      newcomers: BTreeMap::new(),
      newest_known: Version(0),
      news_told_at: Time::default(),
      now,
      others_known: 0,
      outrun_since: None,
      own,
      refused: None,
      registration: Registration::default(),
      returning: BTreeMap::new(),
      rng: ChaCha8Rng::seed_from_u64(seed),
      rollout_calls: BTreeMap::new(),
      rollouts: Rollouts::default(),
      source,
      kept_entries: BTreeSet::new(),
      started_at: now.time,
      ticked_at: now.time,
      traffic: None,
      unreadable: BTreeMap::new(),
      untold_news: BTreeMap::new(),
      watch: WatchPhase::Backoff { after: None, until: now.time },
      watch_failures: 0,
      watchers,
    }
  }

  fn tick(&mut self) {
    let stood_still_ms = self.now.time.since_ms(self.ticked_at);
    self.ticked_at = self.now.time;
    if stood_still_ms > Self::FROZEN_MS {
      self.log(format!("the process stood still for {stood_still_ms} ms: the store is asked anew"));
      self.confirmed_at = None;
      self.registration.renew_at_once();
      self.directory_at = self.now.time;
      self.watch = WatchPhase::Resting { after: self.watch_revision() };
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
    self.tick_returning();
    self.tell_news();
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

  /// Whether this box is one of those that watch the store for its data hall.
  fn is_watcher(&self) -> bool {
    self.watchers.is_in_own_hall(&self.own.peer.box_id)
  }

  /// Whether the fleet starts as a whole, and its boxes are still coming up. Whoever took the first ones that
  /// it sees for the watchers would leave them a moment later: links, watches and whole lists of boxes then
  /// cost more than all that follows.
  fn is_forming(&self) -> bool {
    self.formed_at.is_none()
  }

  /// Whether the daemon has not had the time yet to find its neighbours.
  fn is_settling(&self) -> bool {
    self.formed_at.is_none_or(|at| self.now.time.since_ms(at) < Self::SETTLING_MS)
  }

  /// Announces the box's own news with the next sequence.
  fn announce(&mut self) {
    self.own.sequence += 1;
    self.endpoints.merge(self.now.time, self.own.clone());
    let own = self.own.clone();
    // The version that its backend server runs may be in force already, and requests wait for none.
    self.note_versions(std::slice::from_ref(&own));
    self.news_taken(std::slice::from_ref(&own), None);
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

  /// The fleet is told how requests ended at the backend server of this box.
  fn runs_ended(&mut self, what: RunOutcome) {
    self.own.add_finding(RunFinding { id: self.rng.random(), what });
    self.announce();
  }

  /// News about this box that this life did not announce comes from an earlier life, whose clock may
  /// have been ahead, or from somebody who holds the box for lost.
  pub(super) fn take_own_news(&mut self, endpoint: &Endpoint) {
    self.keep_findings(endpoint);
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
  /// What an earlier life of this box found out is told on. Otherwise a fleet that is killed as a whole would
  /// forget which requests end its backend servers, and learn it again by losing them.
  fn keep_findings(&mut self, earlier: &Endpoint) {
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
      Event::Asked { question, token } => self.asked(&question, token),
      Event::RecordsQueried { id, reports } => self.inquiries.consulted(id, reports),
      Event::EndpointServes { service, slots, software, starts } => {
        self.change_service(service, software, slots, starts);
      }
      Event::EndpointState(state) => self.change_state(state),
      Event::LinkClosed { link } => self.link_lost(link),
      Event::LinkFailed { box_id } => self.link_failed(&box_id),
      Event::LinkOpened { link, outbound, peer } => self.link_opened(link, outbound, &peer),
      Event::Received { link, message } => self.received(link, message),
      Event::RolloutObserved(evidence) => self.evidence_told(None, vec![evidence]),
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
