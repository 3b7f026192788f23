//! A fleet of followers in virtual time, with a store that serves some boxes and not others.

use {
  ferryyoke::{
    configuration::{Configuration, Patch, Policy, Revised, Service, Source, Unreadable},
    distribution::{
      Action, Distribution, Event, Follower, Identity, LinkId, Message, Moment, Timing, Update,
    },
    fleet::{Endpoint, EndpointState, Peer},
    standin::Keyspace,
    store::{self, Key, Refusal, Reply, StoreRequest},
    values::{BoxId, Digest, Incarnation, PolicyName, Team, Time, Version},
  },
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
  },
};

/// Milliseconds of one step of the world.
const STEP_MS: u64 = 10;
/// Milliseconds until a call, or a message, arrives.
const DELAY_MS: u64 = 10;

/// Reads the product's own form of a configuration.
#[derive(Debug)]
struct PlainSource;

impl Source for PlainSource {
  fn key(&self) -> Key {
    Key::of(&["op", "config"])
  }

  fn read(&self, value: &str) -> Result<Configuration, Unreadable> {
    // `unreadable 7` stands for a version 7 of which nothing else can be read.
    if let Some(version) = value.strip_prefix("unreadable ") {
      let version = version.parse().ok();
      return Err(Unreadable { reason: "an unknown kind of route".into(), version });
    }
    serde_json::from_str(value).map_err(Unreadable::unknown_version)
  }
}

/// What happens to a box at a time.
enum Coming {
  Event(Box<Event>),
  Opened { link: LinkId, outbound: bool, peer: BoxId },
}

/// The fleet.
pub struct Followers {
  /// Versions that boxes knew of before they held them.
  pub behind: Vec<(BoxId, Version)>,
  boxes: BTreeMap<BoxId, Follower>,
  coming: BTreeMap<(u64, u64), (BoxId, Coming)>,
  /// Boxes whose process stands still.
  pub frozen: BTreeSet<BoxId>,
  keyspace: Keyspace,
  last: u64,
  /// What the boxes' links carry, in Mbit/s.
  pub link_mbps: u32,
  /// Linearizable reads of lists.
  pub newest_reads: usize,
  /// The other end of each link: the box, and its name there.
  links: BTreeMap<(BoxId, LinkId), (BoxId, LinkId)>,
  /// What the boxes logged.
  pub logged: Vec<String>,
  pub now: u64,
  /// Objects that updates on links carried.
  pub pushed_objects: usize,
  /// Configurations that boxes refused, with the reason.
  pub refused: Vec<(BoxId, String)>,
  /// Calls to the store that were carried out or refused, in tenths: a renewal and a stale read count
  /// one tenth.
  pub store_tenths: u64,
  /// Boxes that the store does not serve.
  pub unserved: BTreeSet<BoxId>,
  /// Whole configurations that watches brought.
  pub watched_configurations: usize,
  watches: Vec<(BoxId, u64, StoreRequest, u64)>,
  /// Most changes that the answer to a watch may hold.
  pub watch_events_max: usize,
}

impl Followers {
  pub fn new() -> Self {
    Self {
      behind: Vec::new(),
      boxes: BTreeMap::new(),
      coming: BTreeMap::new(),
      frozen: BTreeSet::new(),
      keyspace: Keyspace::default(),
      last: 0,
      link_mbps: 10,
      newest_reads: 0,
      links: BTreeMap::new(),
      logged: Vec::new(),
      now: 1_000,
      pushed_objects: 0,
      refused: Vec::new(),
      store_tenths: 0,
      unserved: BTreeSet::new(),
      watched_configurations: 0,
      watches: Vec::new(),
      watch_events_max: usize::MAX,
    }
  }

  pub fn box_id(index: usize) -> BoxId {
    format!("box-{index}").parse().expect("a name")
  }

  fn moment(&self) -> Moment {
    Moment { time: Time(self.now), unix_ms: self.now }
  }

  /// Starts a box, or starts it anew with nothing in memory. `clock_ms` is what its clock shows.
  pub fn start(&mut self, index: usize, clock_ms: u64) {
    let box_id = Self::box_id(index);
    self.stop(index);
    let address = format!("127.0.0.1:{}", 1_000 + index).parse().expect("an address");
    let data_hall = format!("hall-{}", index % 3).parse().expect("a name");
    let endpoint = Endpoint {
      link_mbps: self.link_mbps,
      forward_address: address,
      incarnation: Incarnation(clock_ms),
      peer: Peer { address, box_id: box_id.clone(), data_hall },
      region: "region".parse().expect("a name"),
      relay: None,
      sequence: 0,
      service: "service".parse().expect("a name"),
      slots: 8,
      state: EndpointState::Draining,
    };
    let timing =
      Timing { beat_ms: 1_000, lease_ttl_ms: 4_000, news_delay_ms: 100, push_delay_ms: 0 };
    let identity = Identity { endpoint, seeds: Vec::new(), timing };
    let seed = index as u64 + self.now;
    let follower = Follower::new(self.moment(), seed, identity, Arc::new(PlainSource));
    self.boxes.insert(box_id.clone(), follower);
    self.handle(&box_id, Event::EndpointState(EndpointState::Live));
  }

  /// Ends a box without a word.
  pub fn stop(&mut self, index: usize) {
    let box_id = Self::box_id(index);
    self.boxes.remove(&box_id);
    self.watches.retain(|(owner, ..)| *owner != box_id);
    self.coming.retain(|_, (owner, _)| *owner != box_id);
    let ended: Vec<(BoxId, LinkId)> =
      self.links.keys().filter(|(owner, _)| *owner == box_id).cloned().collect();
    for end in ended {
      self.close(&end);
    }
  }

  fn close(&mut self, end: &(BoxId, LinkId)) {
    if let Some((peer, link)) = self.links.remove(end) {
      self.links.remove(&(peer.clone(), link));
      self.later(&peer, Coming::Event(Box::new(Event::LinkClosed { link })));
    }
  }

  fn later(&mut self, box_id: &BoxId, coming: Coming) {
    self.last += 1;
    self.coming.insert((self.now + DELAY_MS, self.last), (box_id.clone(), coming));
  }

  /// The operators write a version.
  pub fn write_version(&mut self, version: u64) {
    self.write_services(version, 0);
  }

  /// The operators write a version with so many services.
  pub fn write_services(&mut self, version: u64, count: usize) {
    let mut configuration = Configuration { version: Version(version), ..Configuration::default() };
    let owner: Team = "team".parse().expect("a name");
    let name: PolicyName = "policy".parse().expect("a name");
    let policy = Policy { attempts: 1, deadline_ms: 1, owner: owner.clone(), queue_length: 1 };
    let revision = Patch::REVISION;
    configuration.policies.insert(name.clone(), Revised { revision, value: policy });
    for index in 0..count {
      let value = Service {
        connections: None,
        health_path: None,
        owner: owner.clone(),
        policy: name.clone(),
      };
      // A name that does not compress, so that many services are large on a link.
      let name = Digest::of(format!("service-{index}").as_bytes()).to_string();
      let name = name[..40].parse().expect("a name");
      configuration.services.insert(name, Revised { revision, value });
    }
    self.write_text(serde_json::to_string(&configuration).expect("JSON"));
  }

  /// The operators write some text where the configuration belongs.
  pub fn write_text(&mut self, value: String) {
    let request = StoreRequest::Put { key: Key::of(&["op", "config"]), lease: None, value };
    self.keyspace.call(Time(self.now), &request).expect("written");
  }

  /// All leases end at once.
  pub fn lapse_leases(&mut self) {
    self.keyspace.lapse_leases();
  }

  /// Lets time pass.
  pub fn run(&mut self, duration_ms: u64) {
    let until = self.now + duration_ms;
    while self.now < until {
      self.now += STEP_MS;
      self.keyspace.expire(Time(self.now));
      self.answer_watches();
      while let Some(first) = self.coming.first_entry().filter(|one| one.key().0 <= self.now) {
        let (box_id, coming) = first.remove();
        if self.frozen.contains(&box_id) {
          self.later(&box_id, coming);
          continue;
        }
        self.arrive(&box_id, coming);
      }
      if self.now.is_multiple_of(50) {
        let ticking: Vec<BoxId> =
          self.boxes.keys().filter(|one| !self.frozen.contains(*one)).cloned().collect();
        for box_id in ticking {
          self.handle(&box_id, Event::Tick);
        }
      }
    }
  }

  fn arrive(&mut self, box_id: &BoxId, coming: Coming) {
    match coming {
      Coming::Event(event) => self.handle(box_id, *event),
      Coming::Opened { link, outbound, peer } => {
        self.handle(box_id, Event::LinkOpened { link, outbound, peer });
      }
    }
  }

  fn handle(&mut self, box_id: &BoxId, event: Event) {
    let moment = self.moment();
    let Some(follower) = self.boxes.get_mut(box_id) else {
      return;
    };
    for action in follower.handle(moment, event) {
      self.perform(box_id, action);
    }
  }

  fn perform(&mut self, box_id: &BoxId, action: Action) {
    match action {
      Action::Behind(version) => self.behind.push((box_id.clone(), version)),
      Action::CallStore { call, request } => self.call_store(box_id, call, request),
      Action::CloseLink { link } => self.close(&(box_id.clone(), link)),
      Action::Refuse { reason, .. } => self.refused.push((box_id.clone(), reason)),
      Action::Log(text) => self.logged.push(format!("{} {box_id}: {text}", self.now)),
      Action::OpenLink(peer) => self.open(box_id, &peer.box_id),
      Action::Send { link, message } => self.send(box_id, link, message),
      _ => {}
    }
  }

  fn open(&mut self, from: &BoxId, to: &BoxId) {
    if !self.boxes.contains_key(to) || self.frozen.contains(to) {
      self.later(from, Coming::Event(Box::new(Event::LinkFailed { box_id: to.clone() })));
      return;
    }
    self.logged.push(format!("{} {from} links to {to}", self.now));
    self.last += 2;
    let (near, far) = (LinkId(self.last), LinkId(self.last + 1));
    self.links.insert((from.clone(), near), (to.clone(), far));
    self.links.insert((to.clone(), far), (from.clone(), near));
    self.later(to, Coming::Opened { link: far, outbound: false, peer: from.clone() });
    self.later(from, Coming::Opened { link: near, outbound: true, peer: to.clone() });
  }

  fn send(&mut self, from: &BoxId, link: LinkId, message: Message) {
    let update = match &message {
      Message::Update(packed) => packed.unpack().ok(),
      _ => None,
    };
    if let Some(Update::Patches(patches)) = update {
      self.pushed_objects += patches.iter().map(|patch| patch.operations.len()).sum::<usize>();
    }
    if let Some((to, link)) = self.links.get(&(from.clone(), link)).cloned() {
      self.later(&to, Coming::Event(Box::new(Event::Received { link, message })));
    }
  }

  fn call_store(&mut self, box_id: &BoxId, call: u64, request: StoreRequest) {
    let is_cheap =
      matches!(request, StoreRequest::ListStale { .. } | StoreRequest::RenewLease { .. });
    self.store_tenths += if is_cheap { 1 } else { 10 };
    self.newest_reads += usize::from(matches!(request, StoreRequest::List { .. }));
    if self.unserved.contains(box_id) {
      self.answer(box_id, call, Err(Refusal::TooMany { retry_after_ms: 100 }.into()));
      return;
    }
    if let StoreRequest::Watch { wait_ms, .. } = &request {
      let until = self.now + wait_ms;
      self.watches.push((box_id.clone(), call, request, until));
      return;
    }
    let result = self.keyspace.call(Time(self.now), &request).map_err(store::Error::from);
    self.answer(box_id, call, result);
  }

  fn answer(&mut self, box_id: &BoxId, call: u64, result: store::Result<Reply>) {
    self.later(box_id, Coming::Event(Box::new(Event::StoreAnswered { call, result })));
  }

  fn answer_watches(&mut self) {
    let waiting = std::mem::take(&mut self.watches);
    for (box_id, call, request, until) in waiting {
      if self.unserved.contains(&box_id) {
        self.answer(&box_id, call, Err(store::Error::Unknown { reason: "cut".into() }));
        continue;
      }
      let result = self.keyspace.call(Time(self.now), &request);
      let is_idle = matches!(&result, Ok(Reply::Changes { events, .. }) if events.is_empty());
      let is_over = matches!(&result, Ok(Reply::Changes { events, .. }) if events.len() > self.watch_events_max);
      if is_idle && self.now < until {
        self.watches.push((box_id, call, request, until));
      } else if is_over {
        self.answer(&box_id, call, Err(Refusal::AnswerTooLarge { bytes_max: 1 }.into()));
      } else {
        if let Ok(Reply::Changes { events, .. }) = &result {
          let under = |key: &Key| key.is_under(&Key::of(&["op", "config"]));
          self.watched_configurations += events.iter().filter(|one| under(&one.key)).count();
        }
        self.answer(&box_id, call, result.map_err(store::Error::from));
      }
    }
  }

  /// The version that a box holds.
  pub fn version(&self, index: usize) -> Option<u64> {
    self.boxes[&Self::box_id(index)].catalog().version().map(|version| version.0)
  }

  /// Whether `from` holds `to` for a box that takes work.
  pub fn sees_live(&self, from: usize, to: usize) -> bool {
    let endpoints = self.boxes[&Self::box_id(from)].endpoints();
    endpoints.get(&Self::box_id(to)).is_some_and(|one| one.state == EndpointState::Live)
  }

  /// Boxes that run, by index, for which `holds` does not.
  pub fn lacking(&self, count: usize, holds: impl Fn(&Self, usize) -> bool) -> Vec<usize> {
    let runs = |index: &usize| self.boxes.contains_key(&Self::box_id(*index));
    (0..count).filter(runs).filter(|index| !holds(self, *index)).collect()
  }

  /// Changes what a box says of its backend server.
  pub fn change_state(&mut self, index: usize, state: EndpointState) {
    self.handle(&Self::box_id(index), Event::EndpointState(state));
  }
}
