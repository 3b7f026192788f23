//! Simulates a fleet of followers in virtual time, with a store that can reject some of the boxes.

use super::{
  box_links::{self, BoxLinks, Direction},
  plain_source::{self, PlainSource},
};

use {
  ferryyoke::{
    configuration::Source,
    distribution::{
      Action, Distribution, Event, Follower, Identity, LinkId, Message, Moment, PackedUpdate,
      Timing, UnreadableEntry, Update,
    },
    fake::Keyspace,
    fleet::{Endpoint, EndpointState, EndpointTable, Peer},
    rollout::{ShareLimits, TrafficTable},
    store::{self, Era, Key, Refusal, Reply, StoreRequest, Value},
    values::{BoxId, DataHall, Incarnation, Time, Version},
  },
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
  },
};

/// Milliseconds of one simulation step.
const STEP_MS: u64 = 10;
/// Milliseconds beyond a watch's own wait after which its call fails without an answer.
const WATCH_GRACE_MS: u64 = 1_000;
/// Latency of an answer or message in milliseconds, in addition to its transmission time.
const DELAY_MS: u64 = 10;

/// A scheduled event of a box.
enum Scheduled {
  /// A call to the store has left the box's link.
  Call {
    call: u64,
    request: StoreRequest,
  },
  Event(Box<Event>),
  Opened {
    link: LinkId,
    outbound: bool,
    peer: BoxId,
  },
  /// A transmission reaches the box's link. After its bytes have passed the link, the event in it
  /// follows. Until `left_at_us`, the transmission is still queued at its sender.
  Transmission {
    bytes: usize,
    scheduled: Box<Scheduled>,
    left_at_us: u64,
    sender: Option<BoxId>,
  },
}

/// A simulated fleet of followers.
pub struct Followers {
  /// Versions that boxes reported as newer than the one they held.
  pub behind: Vec<(BoxId, Version)>,
  boxes: BTreeMap<BoxId, Follower>,
  /// By microsecond, then in order of scheduling.
  scheduled: BTreeMap<(u64, u64), (BoxId, Scheduled)>,
  /// The backup from which the store is restored.
  backup: Keyspace,
  /// How often the store was restored.
  era: Era,
  /// The data halls that each box knows to be evacuated.
  evacuated: BTreeMap<BoxId, BTreeSet<DataHall>>,
  /// Boxes whose process is paused.
  pub paused: BTreeSet<BoxId>,
  keyspace: Keyspace,
  last: u64,
  /// The link rate that boxes announce, in Mbit/s, if their links are not limited.
  pub link_mbps: u32,
  /// Number of messages with endpoints on links.
  pub news_messages: usize,
  /// Number of linearizable list reads.
  pub linearizable_reads: usize,
  /// The earlier state of the store that stale reads get; `None` while they get the current state.
  stale_store: Option<Keyspace>,
  /// The rates of the boxes' links.
  pub lines: BoxLinks,
  /// The other end of each link: the box and the link's id there.
  links: BTreeMap<(BoxId, LinkId), (BoxId, LinkId)>,
  /// The boxes' log lines.
  pub logged: Vec<String>,
  pub now: u64,
  /// Number of objects in patches on links.
  pub pushed_objects: usize,
  /// Refused configurations: the box and the reason.
  pub refused: Vec<(BoxId, String)>,
  /// The source with which boxes that start parse the operators' entries.
  pub source: Arc<dyn Source>,
  /// Calls that reached the store, in tenths: a lease renewal or a stale read counts as one tenth
  /// of a call.
  pub store_tenths: u64,
  /// Entries that boxes could not parse.
  pub unreadable: Vec<(BoxId, UnreadableEntry)>,
  /// Each box's routing of traffic to software versions.
  pub traffic: BTreeMap<BoxId, TrafficTable>,
  /// The endpoints that each box's proxies know.
  pub proxied: BTreeMap<BoxId, BTreeMap<BoxId, Endpoint>>,
  /// How often each box's proxies received changed endpoints.
  pub endpoint_notifications: BTreeMap<BoxId, usize>,
  /// The last unpacked update with its number of objects.
  unpacked: Option<(PackedUpdate, usize)>,
  /// Ends of open links whose messages are lost.
  silent_ends: BTreeSet<(BoxId, LinkId)>,
  /// Watches that the store never answers. Their calls time out.
  silent_watches: BTreeSet<(BoxId, u64)>,
  /// Boxes that the store rejects.
  pub rejected_boxes: BTreeSet<BoxId>,
  /// Number of whole configurations received by watches.
  pub watched_configurations: usize,
  /// Number of watches that reached the store.
  pub watches_begun: usize,
  watches: Vec<(BoxId, u64, StoreRequest, u64)>,
  /// Largest number of changes in the answer to a watch.
  pub watch_events_max: usize,
}

impl Followers {
  pub fn new() -> Self {
    Self {
      behind: Vec::new(),
      boxes: BTreeMap::new(),
      scheduled: BTreeMap::new(),
      backup: Keyspace::default(),
      era: Era(0),
      evacuated: BTreeMap::new(),
      paused: BTreeSet::new(),
      keyspace: Keyspace::default(),
      last: 0,
      link_mbps: 10,
      news_messages: 0,
      linearizable_reads: 0,
      stale_store: None,
      lines: BoxLinks::default(),
      links: BTreeMap::new(),
      logged: Vec::new(),
      now: 1_000,
      pushed_objects: 0,
      refused: Vec::new(),
      silent_ends: BTreeSet::new(),
      silent_watches: BTreeSet::new(),
      source: Arc::new(PlainSource),
      store_tenths: 0,
      unreadable: Vec::new(),
      traffic: BTreeMap::new(),
      proxied: BTreeMap::new(),
      endpoint_notifications: BTreeMap::new(),
      unpacked: None,
      rejected_boxes: BTreeSet::new(),
      watched_configurations: 0,
      watches_begun: 0,
      watches: Vec::new(),
      watch_events_max: usize::MAX,
    }
  }

  /// An idle fleet in which every box holds version 1.
  pub fn at_rest(boxes: usize) -> Self {
    let mut fleet = Self::new();
    fleet.write_version(1);
    (0..boxes).for_each(|index| fleet.start(index, 1_000));
    fleet.run(8_000);
    assert!(fleet.boxes_without_version(boxes, 1).is_empty(), "{:#?}", fleet.logged);
    fleet
  }

  /// Indexes of the running boxes that do not hold `version`.
  pub fn boxes_without_version(&self, boxes: usize, version: u64) -> Vec<usize> {
    self.boxes_failing(boxes, |fleet, index| fleet.version(index) == Some(version))
  }

  pub fn box_id(index: usize) -> BoxId {
    format!("box-{index}").parse().expect("a name")
  }

  fn moment(&self) -> Moment {
    Moment { time: Time(self.now), unix_ms: self.now }
  }

  /// Starts or restarts a box without any state. `clock_ms` is the time of its clock.
  pub fn start(&mut self, index: usize, clock_ms: u64) {
    self.start_with_state(index, clock_ms, EndpointState::Live);
  }

  /// Starts or restarts a box whose backend server is in the given state.
  pub fn start_with_state(&mut self, index: usize, clock_ms: u64, state: EndpointState) {
    let box_id = Self::box_id(index);
    self.stop(index);
    let address = format!("127.0.0.1:{}", 1_000 + index).parse().expect("an address");
    let data_hall = format!("hall-{}", index % 3).parse().expect("a name");
    let link_mbps = match self.lines.mbps(&box_id) {
      0 => self.link_mbps,
      bound => bound,
    };
    let endpoint = Endpoint {
      backend_starts: 0,
      findings: Vec::new(),
      link_mbps,
      forward_address: address,
      incarnation: Incarnation(clock_ms),
      peer: Peer { address, box_id: box_id.clone(), data_hall },
      region: "region".parse().expect("a name"),
      relay: None,
      sequence: 0,
      service: "service".parse().expect("a name"),
      slots: 8,
      software: None,
      state: EndpointState::Draining,
    };
    let timing = Timing {
      heartbeat_ms: 1_000,
      lease_ttl_ms: 4_000,
      endpoint_delay_ms: 100,
      update_delay_ms: 0,
    };
    let identity =
      Identity { endpoint, seeds: Vec::new(), share_limits: ShareLimits::default(), timing };
    let seed = index as u64 + self.now;
    let follower = Follower::new(self.moment(), seed, identity, self.source.clone());
    self.boxes.insert(box_id.clone(), follower);
    self.handle(&box_id, Event::EndpointState(state));
  }

  /// Crashes a box. Messages that have not left its link are lost.
  pub fn stop(&mut self, index: usize) {
    let box_id = Self::box_id(index);
    self.boxes.remove(&box_id);
    self.evacuated.remove(&box_id);
    self.traffic.remove(&box_id);
    self.proxied.remove(&box_id);
    self.lines.clear(&box_id);
    self.watches.retain(|(owner, ..)| *owner != box_id);
    let now_us = self.now * 1_000;
    self.scheduled.retain(|_, (owner, scheduled)| match scheduled {
      Scheduled::Transmission { left_at_us, sender: Some(sender), .. } if *sender == box_id => {
        *left_at_us <= now_us && *owner != box_id
      }
      _ => *owner != box_id,
    });
    let ended: Vec<(BoxId, LinkId)> =
      self.links.keys().filter(|(owner, _)| *owner == box_id).cloned().collect();
    for end in ended {
      self.close(&end, None);
    }
  }

  /// Closes a link from one end. `sender` is `None` if the box at that end has crashed.
  fn close(&mut self, end: &(BoxId, LinkId), sender: Option<&BoxId>) {
    if let Some((peer, link)) = self.links.remove(end) {
      if self.silent_ends.remove(end) {
        return;
      }
      self.links.remove(&(peer.clone(), link));
      self.transmit(sender, &peer, 0, Scheduled::Event(Box::new(Event::LinkClosed { link })));
    }
  }

  /// Sends an event to a box over the sender's link, if the sender is a box, and the box's own
  /// link.
  fn transmit(&mut self, sender: Option<&BoxId>, to: &BoxId, bytes: usize, scheduled: Scheduled) {
    let now_us = self.now * 1_000;
    let left_at_us =
      sender.map_or(now_us, |sender| self.lines.carry(sender, Direction::Outward, now_us, bytes));
    let (scheduled, sender) = (Box::new(scheduled), sender.cloned());
    let parcel = Scheduled::Transmission { bytes, scheduled, left_at_us, sender };
    self.at(left_at_us + DELAY_MS * 1_000, to, parcel);
  }

  fn at(&mut self, at_us: u64, box_id: &BoxId, scheduled: Scheduled) {
    self.last += 1;
    self.scheduled.insert((at_us, self.last), (box_id.clone(), scheduled));
  }

  /// Writes a configuration as the operators.
  pub fn write_version(&mut self, version: u64) {
    self.write_services(version, 0);
  }

  /// Writes a configuration with `count` services as the operators.
  pub fn write_services(&mut self, version: u64, count: usize) {
    self.write_text(plain_source::configuration_text(version, count));
  }

  /// Writes text under the key of the configuration as the operators.
  pub fn write_text(&mut self, value: String) {
    let request = StoreRequest::Put { key: Key::of(&["op", "config"]), lease: None, value };
    self.keyspace.call(Time(self.now), &request).expect("written");
  }

  /// Writes an entry, which need not be text, as a foreign writer.
  pub fn write_foreign(&mut self, key: &str, value: Value) {
    self.keyspace.write_value(&Key::of(&[key]), value);
  }

  /// Writes an entry of the operators or of the fleet.
  pub fn write_item(&mut self, key: &[&str], value: String) {
    let request = StoreRequest::Put { key: Key::of(key), lease: None, value };
    self.keyspace.call(Time(self.now), &request).expect("written");
  }

  /// Deletes an entry from the store.
  pub fn remove_item(&mut self, key: &[&str]) {
    let request = StoreRequest::Delete { key: Key::of(key) };
    self.keyspace.call(Time(self.now), &request).expect("removed");
  }

  /// The text of an entry in the store.
  pub fn item(&mut self, key: &[&str]) -> Option<String> {
    match self.keyspace.call(Time(self.now), &StoreRequest::Read { key: Key::of(key) }) {
      Ok(Reply::Entry { entry, .. }) => {
        entry.and_then(|entry| entry.value.text().ok().map(Into::into))
      }
      other => panic!("{other:?}"),
    }
  }

  /// Whether a box runs.
  pub fn runs(&self, index: usize) -> bool {
    self.boxes.contains_key(&Self::box_id(index))
  }

  /// The endpoints that a box knows.
  pub fn endpoints(&self, index: usize) -> &EndpointTable {
    self.boxes[&Self::box_id(index)].endpoints()
  }

  /// Delivers an event to a box.
  pub fn tell(&mut self, index: usize, event: Event) {
    self.handle(&Self::box_id(index), event);
  }

  /// The value of a box's entry in the store.
  pub fn box_entry(&mut self, index: usize) -> Option<Value> {
    let key = Key::of(&["mesh", "boxes", Self::box_id(index).as_str()]);
    match self.keyspace.call(Time(self.now), &StoreRequest::Read { key }) {
      Ok(Reply::Entry { entry, .. }) => entry.map(|entry| entry.value),
      other => panic!("{other:?}"),
    }
  }

  /// Makes a backup of the store.
  pub fn back_up(&mut self) {
    self.backup = self.keyspace.clone();
  }

  /// Restores the store from the backup: later writes are lost, and their revisions and lease ids
  /// are reused. Pending watches fail.
  pub fn restore_backup(&mut self) {
    self.keyspace = self.backup.clone();
    self.era = self.era.next();
    for (box_id, call, ..) in std::mem::take(&mut self.watches) {
      self.answer(&box_id, call, Err(store::Error::Unknown { reason: "cut".into() }));
    }
  }

  /// Expires all leases at once.
  pub fn lapse_leases(&mut self) {
    self.keyspace.expire_all_leases();
  }

  /// Runs the simulation for some time.
  pub fn run(&mut self, duration_ms: u64) {
    let until = self.now + duration_ms;
    while self.now < until {
      self.now += STEP_MS;
      self.keyspace.expire(Time(self.now));
      self.answer_watches();
      self.deliver_due();
      if self.now.is_multiple_of(50) {
        let ticking: Vec<BoxId> =
          self.boxes.keys().filter(|one| !self.paused.contains(*one)).cloned().collect();
        for box_id in ticking {
          self.handle(&box_id, Event::Tick);
        }
      }
    }
  }

  /// Handles all due events. Events of a paused process stay queued in order.
  fn deliver_due(&mut self) {
    let mut waiting = Vec::new();
    while let Some(first) =
      self.scheduled.first_entry().filter(|one| one.key().0 <= self.now * 1_000)
    {
      let (key, (box_id, scheduled)) = first.remove_entry();
      let is_for_process = matches!(scheduled, Scheduled::Event(_) | Scheduled::Opened { .. });
      if is_for_process && self.paused.contains(&box_id) {
        waiting.push((key, (box_id, scheduled)));
      } else {
        self.arrive(key.0, &box_id, scheduled);
      }
    }
    self.scheduled.extend(waiting);
  }

  fn arrive(&mut self, at_us: u64, box_id: &BoxId, scheduled: Scheduled) {
    match scheduled {
      Scheduled::Call { call, request } => self.call_arrives(box_id, call, request),
      Scheduled::Transmission { bytes, scheduled, .. } => {
        let through_us = self.lines.carry(box_id, Direction::Inward, at_us, bytes);
        self.at(through_us, box_id, *scheduled);
      }
      Scheduled::Event(event) => self.handle(box_id, *event),
      Scheduled::Opened { link, outbound, peer } => {
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
      Action::NewerVersionKnown(version) => self.behind.push((box_id.clone(), version)),
      Action::CallStore { call, request } => self.call_store(box_id, call, request),
      Action::CloseLink { link } => self.close(&(box_id.clone(), link), Some(box_id)),
      Action::EndpointsUpdated(endpoints) => {
        let known = self.proxied.entry(box_id.clone()).or_default();
        known.extend(endpoints.into_iter().map(|one| (one.peer.box_id.clone(), one)));
        *self.endpoint_notifications.entry(box_id.clone()).or_default() += 1;
      }
      Action::EndpointsChanged => {
        let endpoints = self.boxes[box_id].endpoints().iter().cloned();
        let known = endpoints.map(|one| (one.peer.box_id.clone(), one)).collect();
        self.proxied.insert(box_id.clone(), known);
      }
      Action::EvacuationsChanged(halls) => {
        self.evacuated.insert(box_id.clone(), halls);
      }
      Action::ReportRefusal { reason, .. } => self.refused.push((box_id.clone(), reason)),
      Action::Log(text) => self.logged.push(format!("{} {box_id}: {text}", self.now)),
      Action::OpenLink(peer) => self.open(box_id, &peer.box_id),
      Action::RolloutsChanged(traffic) => {
        self.traffic.entry(box_id.clone()).or_default().set(traffic);
      }
      Action::Send { link, message } => self.send(box_id, link, message),
      Action::UnreadableEntry(entry) => self.unreadable.push((box_id.clone(), entry)),
      _ => {}
    }
  }

  fn open(&mut self, from: &BoxId, to: &BoxId) {
    if !self.boxes.contains_key(to) || self.paused.contains(to) {
      let failed = Event::LinkFailed { box_id: to.clone() };
      self.transmit(None, from, 0, Scheduled::Event(Box::new(failed)));
      return;
    }
    self.logged.push(format!("{} {from} links to {to}", self.now));
    self.last += 2;
    let (near, far) = (LinkId(self.last), LinkId(self.last + 1));
    self.links.insert((from.clone(), near), (to.clone(), far));
    self.links.insert((to.clone(), far), (from.clone(), near));
    let (opened, peer) =
      (|link, outbound, peer| Scheduled::Opened { link, outbound, peer }, from.clone());
    self.transmit(Some(from), to, 0, opened(far, false, peer));
    self.transmit(Some(to), from, 0, opened(near, true, to.clone()));
  }

  fn send(&mut self, from: &BoxId, link: LinkId, message: Message) {
    if self.silent_ends.contains(&(from.clone(), link)) {
      return;
    }
    if let Message::Update(packed) = &message {
      self.pushed_objects += self.objects_of(packed);
    }
    if matches!(message, Message::Endpoints(_)) {
      self.news_messages += 1;
    }
    if let Some((to, link)) = self.links.get(&(from.clone(), link)).cloned() {
      let bytes = if self.lines.is_bound(from) || self.lines.is_bound(&to) {
        box_links::message_bytes(&message)
      } else {
        0
      };
      let received = Event::Received { link, message };
      self.transmit(Some(from), &to, bytes, Scheduled::Event(Box::new(received)));
    }
  }

  /// Number of objects that an update changes. The last one is cached: unpacking is slow, and most
  /// updates are sent to many boxes in a row.
  fn objects_of(&mut self, packed: &PackedUpdate) -> usize {
    if let Some((_, objects)) = self.unpacked.as_ref().filter(|(known, _)| known == packed) {
      return *objects;
    }
    let objects = match packed.unpack() {
      Ok(Update::Patches(patches)) => patches.iter().map(|patch| patch.operations.len()).sum(),
      _ => 0,
    };
    self.unpacked = Some((packed.clone(), objects));
    objects
  }

  fn call_store(&mut self, box_id: &BoxId, call: u64, request: StoreRequest) {
    let (bytes, now_us) = (box_links::request_bytes(&request), self.now * 1_000);
    let left_at_us = self.lines.carry(box_id, Direction::Outward, now_us, bytes);
    if left_at_us <= now_us {
      self.call_arrives(box_id, call, request);
    } else {
      self.at(left_at_us, box_id, Scheduled::Call { call, request });
    }
  }

  fn call_arrives(&mut self, box_id: &BoxId, call: u64, request: StoreRequest) {
    let is_cheap =
      matches!(request, StoreRequest::ListStale { .. } | StoreRequest::RenewLease { .. });
    self.store_tenths += if is_cheap { 1 } else { 10 };
    self.linearizable_reads += usize::from(matches!(request, StoreRequest::List { .. }));
    if self.rejected_boxes.contains(box_id) {
      // Both pending and new watches are cut, so that tests can tell them from other calls.
      let turned_away = match &request {
        StoreRequest::Watch { .. } => store::Error::Unknown { reason: "cut".into() },
        _ => Refusal::TooMany { retry_after_ms: 100 }.into(),
      };
      self.answer(box_id, call, Err(turned_away));
      return;
    }
    let Some(request) = self.in_this_era(request) else {
      return self.answer(box_id, call, Err(Refusal::Compacted.into()));
    };
    if let StoreRequest::Watch { wait_ms, .. } = &request {
      self.watches_begun += 1;
      let until = self.now + wait_ms;
      self.watches.push((box_id.clone(), call, request, until));
      return;
    }
    let result = self.read_stale(&request);
    let result = result.unwrap_or_else(|| self.keyspace.call(Time(self.now), &request));
    self.answer(box_id, call, result.map_err(store::Error::from));
  }

  /// Translates a call to the store's own revisions; `None` for a watch from an earlier era, which
  /// clients do not send and the store refuses as compacted.
  fn in_this_era(&self, mut request: StoreRequest) -> Option<StoreRequest> {
    if let StoreRequest::Watch { after, .. } = &mut request {
      if after.era < self.era {
        return None;
      }
      after.era = Era(0);
    }
    Some(request)
  }

  /// Answers a stale read with the earlier state of the store, but with its current revision.
  fn read_stale(&mut self, request: &StoreRequest) -> Option<Result<Reply, Refusal>> {
    let old =
      self.stale_store.as_mut().filter(|_| matches!(request, StoreRequest::ListStale { .. }))?;
    let (result, revision) = (old.call(Time(self.now), request), self.keyspace.revision());
    Some(result.map(|reply| match reply {
      Reply::Entries { entries, .. } => Reply::Entries { entries, revision },
      other => other,
    }))
  }

  /// From now on, stale reads get the present state of the store.
  pub fn begin_stale_reads(&mut self) {
    self.stale_store = Some(self.keyspace.clone());
  }

  /// From now on, stale reads get the current state of the store again.
  pub fn end_stale_reads(&mut self) {
    self.stale_store = None;
  }

  /// Compacts the store's history up to now.
  pub fn forget_history(&mut self) {
    self.keyspace.compact();
  }

  fn answer(&mut self, box_id: &BoxId, call: u64, result: store::Result<Reply>) {
    let bytes = box_links::answer_bytes(&result);
    let result = result.map(|reply| reply.with_era(self.era));
    let answered = Event::StoreAnswered { call, era: self.era, result };
    self.transmit(None, box_id, bytes, Scheduled::Event(Box::new(answered)));
  }

  /// Silences the connections of the boxes' pending watches. New watches work.
  pub fn silence_watches(&mut self, boxes: impl Iterator<Item = usize>) {
    let boxes: BTreeSet<BoxId> = boxes.map(Self::box_id).collect();
    let of_these = self.watches.iter().filter(|(box_id, ..)| boxes.contains(box_id));
    self.silent_watches.extend(of_these.map(|(box_id, call, ..)| (box_id.clone(), *call)));
  }

  /// Silences all open links in the direction from one box to the other. New links work.
  pub fn silence_links(&mut self, from: usize, to: usize) {
    let (from, to) = (Self::box_id(from), Self::box_id(to));
    let ends = self.links.iter().filter(|((near, _), (far, _))| *near == from && *far == to);
    self.silent_ends.extend(ends.map(|(near, _)| near.clone()));
  }

  fn answer_watches(&mut self) {
    let waiting = std::mem::take(&mut self.watches);
    for (box_id, call, request, until) in waiting {
      if self.silent_watches.contains(&(box_id.clone(), call)) {
        if self.now < until + WATCH_GRACE_MS {
          self.watches.push((box_id, call, request, until));
        } else {
          let reason = "no answer began".into();
          self.answer(&box_id, call, Err(store::Error::Unknown { reason }));
        }
        continue;
      }
      if self.rejected_boxes.contains(&box_id) {
        self.answer(&box_id, call, Err(store::Error::Unknown { reason: "cut".into() }));
        continue;
      }
      let result = self.keyspace.call(Time(self.now), &request);
      let is_idle = matches!(&result, Ok(Reply::Changes { events, .. }) if events.is_empty());
      let is_over = matches!(&result, Ok(Reply::Changes { events, .. })
        if events.len() > self.watch_events_max);
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

  /// The version that the box holds.
  pub fn version(&self, index: usize) -> Option<u64> {
    self.boxes[&Self::box_id(index)].catalog().version().map(|version| version.0)
  }

  /// Whether `from` knows `to` as a live endpoint.
  pub fn sees_live(&self, from: usize, to: usize) -> bool {
    let endpoints = self.boxes[&Self::box_id(from)].endpoints();
    endpoints.get(&Self::box_id(to)).is_some_and(|one| one.state == EndpointState::Live)
  }

  /// The data halls that the box knows to be evacuated.
  pub fn evacuated(&self, index: usize) -> BTreeSet<DataHall> {
    self.evacuated.get(&Self::box_id(index)).cloned().unwrap_or_default()
  }

  /// Indexes of the running boxes for which `holds` is false.
  pub fn boxes_failing(&self, count: usize, holds: impl Fn(&Self, usize) -> bool) -> Vec<usize> {
    let runs = |index: &usize| self.boxes.contains_key(&Self::box_id(*index));
    (0..count).filter(runs).filter(|index| !holds(self, *index)).collect()
  }

  /// Changes the reported state of a box's backend server.
  pub fn change_state(&mut self, index: usize, state: EndpointState) {
    self.handle(&Self::box_id(index), Event::EndpointState(state));
  }
}
