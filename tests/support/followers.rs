//! A fleet of followers in virtual time, with a store that serves some boxes and not others.

use super::{
  box_links::{self, Direction, BoxLinks},
  plain_source::{self, PlainSource},
};

use {
  ferryyoke::{
    configuration::Source,
    distribution::{
      Action, Distribution, Event, Follower, Identity, LinkId, Message, Moment, PackedUpdate,
      Timing, UnreadableEntry, Update,
    },
    fleet::{Endpoint, EndpointState, EndpointTable, Peer},
    rollout::{ShareLimits, TrafficTable},
    fake::Keyspace,
    store::{self, Era, Key, Refusal, Reply, StoreRequest, Value},
    values::{BoxId, DataHall, Incarnation, Time, Version},
  },
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
  },
};

/// Milliseconds of one step of the world.
const STEP_MS: u64 = 10;
/// Milliseconds beyond its own wait after which a box gives up a watch without an answer.
const PATIENCE_MS: u64 = 1_000;
/// Milliseconds on the way until a call, or a message, arrives, beside its time on narrow links.
const DELAY_MS: u64 = 10;

/// What happens to a box, or what it does, at a time.
enum Coming {
  /// A call of the box's leaves its link.
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
  /// So many bytes reach the box's link, and then what they tell happens. Until a time they are still
  /// at their sender.
  Parcel {
    bytes: usize,
    coming: Box<Coming>,
    left_at_us: u64,
    sender: Option<BoxId>,
  },
}

/// The fleet.
pub struct Followers {
  /// Versions that boxes knew of before they held them.
  pub behind: Vec<(BoxId, Version)>,
  boxes: BTreeMap<BoxId, Follower>,
  /// By microsecond, and in order of sending.
  coming: BTreeMap<(u64, u64), (BoxId, Coming)>,
  /// The content that the store comes back with when it goes back.
  copy: Keyspace,
  /// How often the store went back.
  era: Era,
  /// The data halls that each box holds for evacuated.
  evacuated: BTreeMap<BoxId, BTreeSet<DataHall>>,
  /// Boxes whose process stands still.
  pub frozen: BTreeSet<BoxId>,
  keyspace: Keyspace,
  last: u64,
  /// What the boxes say that their links carry, in Mbit/s, where nothing bounds these.
  pub link_mbps: u32,
  /// Messages on links that told news about boxes.
  pub news_messages: usize,
  /// Linearizable reads of lists.
  pub newest_reads: usize,
  /// What the store was when reads that may be old are answered from it; nothing while they are new.
  old: Option<Keyspace>,
  /// What the boxes' links carry.
  pub lines: BoxLinks,
  /// The other end of each link: the box, and its name there.
  links: BTreeMap<(BoxId, LinkId), (BoxId, LinkId)>,
  /// What the boxes logged.
  pub logged: Vec<String>,
  pub now: u64,
  /// Objects that updates on links carried.
  pub pushed_objects: usize,
  /// Configurations that boxes refused, with the reason.
  pub refused: Vec<(BoxId, String)>,
  /// How boxes that start read what the operators write.
  pub source: Arc<dyn Source>,
  /// Calls to the store that were carried out or refused, in tenths: a renewal and a stale read count
  /// one tenth.
  pub store_tenths: u64,
  /// Entries that boxes could not read.
  pub unreadable: Vec<(BoxId, UnreadableEntry)>,
  /// Which versions get which requests, as each box's proxies know it.
  pub traffic: BTreeMap<BoxId, TrafficTable>,
  /// How often each box's proxies were told news about boxes.
  pub times_told: BTreeMap<BoxId, usize>,
  /// The last update that was unpacked to count its objects.
  unpacked: Option<(PackedUpdate, usize)>,
  /// Ends of links from which nothing arrives any more, though both stay open.
  silent_ends: BTreeSet<(BoxId, LinkId)>,
  /// Watches that the store takes for answered, or never heard of. Their calls end without an answer.
  silent_watches: BTreeSet<(BoxId, u64)>,
  /// Boxes that the store does not serve.
  pub unserved: BTreeSet<BoxId>,
  /// Whole configurations that watches brought.
  pub watched_configurations: usize,
  /// Watches that reached the store.
  pub watches_begun: usize,
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
      copy: Keyspace::default(),
      era: Era(0),
      evacuated: BTreeMap::new(),
      frozen: BTreeSet::new(),
      keyspace: Keyspace::default(),
      last: 0,
      link_mbps: 10,
      news_messages: 0,
      newest_reads: 0,
      old: None,
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
      times_told: BTreeMap::new(),
      unpacked: None,
      unserved: BTreeSet::new(),
      watched_configurations: 0,
      watches_begun: 0,
      watches: Vec::new(),
      watch_events_max: usize::MAX,
    }
  }

  /// A fleet that has found itself and holds version 1.
  pub fn at_rest(boxes: usize) -> Self {
    let mut fleet = Self::new();
    fleet.write_version(1);
    (0..boxes).for_each(|index| fleet.start(index, 1_000));
    fleet.run(8_000);
    assert!(fleet.late(boxes, 1).is_empty(), "{:#?}", fleet.logged);
    fleet
  }

  /// Boxes that run, by index, and do not hold a version.
  pub fn late(&self, boxes: usize, version: u64) -> Vec<usize> {
    self.lacking(boxes, |fleet, index| fleet.version(index) == Some(version))
  }

  pub fn box_id(index: usize) -> BoxId {
    format!("box-{index}").parse().expect("a name")
  }

  fn moment(&self) -> Moment {
    Moment { time: Time(self.now), unix_ms: self.now }
  }

  /// Starts a box, or starts it anew with nothing in memory. `clock_ms` is what its clock shows.
  pub fn start(&mut self, index: usize, clock_ms: u64) {
    self.start_beside(index, clock_ms, EndpointState::Live);
  }

  /// Starts a box whose backend server is in a state.
  pub fn start_beside(&mut self, index: usize, clock_ms: u64, state: EndpointState) {
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

  /// Ends a box without a word. What has not left its link is lost.
  pub fn stop(&mut self, index: usize) {
    let box_id = Self::box_id(index);
    self.boxes.remove(&box_id);
    self.evacuated.remove(&box_id);
    self.traffic.remove(&box_id);
    self.lines.clear(&box_id);
    self.watches.retain(|(owner, ..)| *owner != box_id);
    let now_us = self.now * 1_000;
    self.coming.retain(|_, (owner, coming)| match coming {
      Coming::Parcel { left_at_us, sender: Some(sender), .. } if *sender == box_id => {
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

  /// Closes a link from one end; nobody is the sender where the box there ended.
  fn close(&mut self, end: &(BoxId, LinkId), sender: Option<&BoxId>) {
    if let Some((peer, link)) = self.links.remove(end) {
      if self.silent_ends.remove(end) {
        return;
      }
      self.links.remove(&(peer.clone(), link));
      self.convey(sender, &peer, 0, Coming::Event(Box::new(Event::LinkClosed { link })));
    }
  }

  /// Brings something to a box over its own link, and that of the sender where it is a box.
  fn convey(&mut self, sender: Option<&BoxId>, to: &BoxId, bytes: usize, coming: Coming) {
    let now_us = self.now * 1_000;
    let left_at_us =
      sender.map_or(now_us, |sender| self.lines.carry(sender, Direction::Outward, now_us, bytes));
    let (coming, sender) = (Box::new(coming), sender.cloned());
    let parcel = Coming::Parcel { bytes, coming, left_at_us, sender };
    self.at(left_at_us + DELAY_MS * 1_000, to, parcel);
  }

  fn at(&mut self, at_us: u64, box_id: &BoxId, coming: Coming) {
    self.last += 1;
    self.coming.insert((at_us, self.last), (box_id.clone(), coming));
  }

  /// The operators write a version.
  pub fn write_version(&mut self, version: u64) {
    self.write_services(version, 0);
  }

  /// The operators write a version with so many services.
  pub fn write_services(&mut self, version: u64, count: usize) {
    self.write_text(plain_source::configuration_text(version, count));
  }

  /// The operators write some text where the configuration belongs.
  pub fn write_text(&mut self, value: String) {
    let request = StoreRequest::Put { key: Key::of(&["op", "config"]), lease: None, value };
    self.keyspace.call(Time(self.now), &request).expect("written");
  }

  /// Another writer puts an item in that may be no text.
  pub fn write_foreign(&mut self, key: &str, value: Value) {
    self.keyspace.write_value(&Key::of(&[key]), value);
  }

  /// Writes an item of the operators, or of the fleet.
  pub fn write_item(&mut self, key: &[&str], value: String) {
    let request = StoreRequest::Put { key: Key::of(key), lease: None, value };
    self.keyspace.call(Time(self.now), &request).expect("written");
  }

  /// Takes an item out of the store.
  pub fn remove_item(&mut self, key: &[&str]) {
    let request = StoreRequest::Delete { key: Key::of(key) };
    self.keyspace.call(Time(self.now), &request).expect("removed");
  }

  /// The text of an item in the store.
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

  /// What a box knows of the fleet.
  pub fn endpoints(&self, index: usize) -> &EndpointTable {
    self.boxes[&Self::box_id(index)].endpoints()
  }

  /// Something happens to a box.
  pub fn tell(&mut self, index: usize, event: Event) {
    self.handle(&Self::box_id(index), event);
  }

  /// What the store holds for a box.
  pub fn entry_of(&mut self, index: usize) -> Option<Value> {
    let key = Key::of(&["mesh", "boxes", Self::box_id(index).as_str()]);
    match self.keyspace.call(Time(self.now), &StoreRequest::Read { key }) {
      Ok(Reply::Entry { entry, .. }) => entry.map(|entry| entry.value),
      other => panic!("{other:?}"),
    }
  }

  /// The store keeps a copy of all that it holds.
  pub fn keep_copy(&mut self) {
    self.copy = self.keyspace.clone();
  }

  /// The store comes back from the copy: what it acknowledged since is gone, and revisions and numbers of leases are
  /// given out again. Watches that wait are cut.
  pub fn go_back(&mut self) {
    self.keyspace = self.copy.clone();
    self.era = self.era.next();
    for (box_id, call, ..) in std::mem::take(&mut self.watches) {
      self.answer(&box_id, call, Err(store::Error::Unknown { reason: "cut".into() }));
    }
  }

  /// All leases end at once.
  pub fn lapse_leases(&mut self) {
    self.keyspace.expire_all_leases();
  }

  /// Lets time pass.
  pub fn run(&mut self, duration_ms: u64) {
    let until = self.now + duration_ms;
    while self.now < until {
      self.now += STEP_MS;
      self.keyspace.expire(Time(self.now));
      self.answer_watches();
      self.let_come();
      if self.now.is_multiple_of(50) {
        let ticking: Vec<BoxId> =
          self.boxes.keys().filter(|one| !self.frozen.contains(*one)).cloned().collect();
        for box_id in ticking {
          self.handle(&box_id, Event::Tick);
        }
      }
    }
  }

  /// Lets all happen that is due. What comes to a box that stands still waits in its order.
  fn let_come(&mut self) {
    let mut waiting = Vec::new();
    while let Some(first) = self.coming.first_entry().filter(|one| one.key().0 <= self.now * 1_000)
    {
      let (key, (box_id, coming)) = first.remove_entry();
      let is_for_process = matches!(coming, Coming::Event(_) | Coming::Opened { .. });
      if is_for_process && self.frozen.contains(&box_id) {
        waiting.push((key, (box_id, coming)));
      } else {
        self.arrive(key.0, &box_id, coming);
      }
    }
    self.coming.extend(waiting);
  }

  fn arrive(&mut self, at_us: u64, box_id: &BoxId, coming: Coming) {
    match coming {
      Coming::Call { call, request } => self.call_arrives(box_id, call, request),
      Coming::Parcel { bytes, coming, .. } => {
        let through_us = self.lines.carry(box_id, Direction::Inward, at_us, bytes);
        self.at(through_us, box_id, *coming);
      }
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
      Action::NewerVersionKnown(version) => self.behind.push((box_id.clone(), version)),
      Action::CallStore { call, request } => self.call_store(box_id, call, request),
      Action::CloseLink { link } => self.close(&(box_id.clone(), link), Some(box_id)),
      Action::EndpointsUpdated(_) => {
        *self.times_told.entry(box_id.clone()).or_default() += 1;
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
    if !self.boxes.contains_key(to) || self.frozen.contains(to) {
      let failed = Event::LinkFailed { box_id: to.clone() };
      self.convey(None, from, 0, Coming::Event(Box::new(failed)));
      return;
    }
    self.logged.push(format!("{} {from} links to {to}", self.now));
    self.last += 2;
    let (near, far) = (LinkId(self.last), LinkId(self.last + 1));
    self.links.insert((from.clone(), near), (to.clone(), far));
    self.links.insert((to.clone(), far), (from.clone(), near));
    let (opened, peer) =
      (|link, outbound, peer| Coming::Opened { link, outbound, peer }, from.clone());
    self.convey(Some(from), to, 0, opened(far, false, peer));
    self.convey(Some(to), from, 0, opened(near, true, to.clone()));
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
      self.convey(Some(from), &to, bytes, Coming::Event(Box::new(received)));
    }
  }

  /// Objects that an update changes. Most are sent to many boxes in a row, and unpacking takes long.
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
      self.at(left_at_us, box_id, Coming::Call { call, request });
    }
  }

  fn call_arrives(&mut self, box_id: &BoxId, call: u64, request: StoreRequest) {
    let is_cheap =
      matches!(request, StoreRequest::ListStale { .. } | StoreRequest::RenewLease { .. });
    self.store_tenths += if is_cheap { 1 } else { 10 };
    self.newest_reads += usize::from(matches!(request, StoreRequest::List { .. }));
    if self.unserved.contains(box_id) {
      // A watch is cut, whether it was under way or begins, so that tests can tell it from other calls.
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
    let result = self.read_old(&request);
    let result = result.unwrap_or_else(|| self.keyspace.call(Time(self.now), &request));
    self.answer(box_id, call, result.map_err(store::Error::from));
  }

  /// A call by the store's own counts; nothing for a watch from an earlier era, which clients do not send.
  fn in_this_era(&self, mut request: StoreRequest) -> Option<StoreRequest> {
    if let StoreRequest::Watch { after, .. } = &mut request {
      if after.era < self.era {
        return None;
      }
      after.era = Era(0);
    }
    Some(request)
  }

  /// Answers a read that may be old as the store was, with the revision at which it is now.
  fn read_old(&mut self, request: &StoreRequest) -> Option<Result<Reply, Refusal>> {
    let old = self.old.as_mut().filter(|_| matches!(request, StoreRequest::ListStale { .. }))?;
    let (result, revision) = (old.call(Time(self.now), request), self.keyspace.revision());
    Some(result.map(|reply| match reply {
      Reply::Entries { entries, .. } => Reply::Entries { entries, revision },
      other => other,
    }))
  }

  /// From now on, reads that may be old show the store as it is at present.
  pub fn begin_old_reads(&mut self) {
    self.old = Some(self.keyspace.clone());
  }

  /// Reads that may be old show the store as it is again.
  pub fn end_old_reads(&mut self) {
    self.old = None;
  }

  /// The store forgets all changes up to now.
  pub fn forget_history(&mut self) {
    self.keyspace.compact();
  }

  fn answer(&mut self, box_id: &BoxId, call: u64, result: store::Result<Reply>) {
    let bytes = box_links::answer_bytes(&result);
    let result = result.map(|reply| reply.with_era(self.era));
    let answered = Event::StoreAnswered { call, era: self.era, result };
    self.convey(None, box_id, bytes, Coming::Event(Box::new(answered)));
  }

  /// Lets the connections of all watches that wait go silent; new ones are well.
  pub fn silence_watches(&mut self, boxes: impl Iterator<Item = usize>) {
    let boxes: BTreeSet<BoxId> = boxes.map(Self::box_id).collect();
    let of_these = self.watches.iter().filter(|(box_id, ..)| boxes.contains(box_id));
    self.silent_watches.extend(of_these.map(|(box_id, call, ..)| (box_id.clone(), *call)));
  }

  /// Lets all open links go silent from one box to the other; new ones are well.
  pub fn silence_links(&mut self, from: usize, to: usize) {
    let (from, to) = (Self::box_id(from), Self::box_id(to));
    let ends = self.links.iter().filter(|((near, _), (far, _))| *near == from && *far == to);
    self.silent_ends.extend(ends.map(|(near, _)| near.clone()));
  }

  fn answer_watches(&mut self) {
    let waiting = std::mem::take(&mut self.watches);
    for (box_id, call, request, until) in waiting {
      if self.silent_watches.contains(&(box_id.clone(), call)) {
        if self.now < until + PATIENCE_MS {
          self.watches.push((box_id, call, request, until));
        } else {
          let reason = "no answer began".into();
          self.answer(&box_id, call, Err(store::Error::Unknown { reason }));
        }
        continue;
      }
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

  /// The data halls that a box holds for evacuated.
  pub fn evacuated(&self, index: usize) -> BTreeSet<DataHall> {
    self.evacuated.get(&Self::box_id(index)).cloned().unwrap_or_default()
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
