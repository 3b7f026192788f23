//! Simulates a fleet of distributors in virtual time, with link and store faults.

use {
  super::oracle::Oracle,
  ferryyoke::{
    configuration::{
      AcceptedChange, Change, ChangeSummary, Handling, Head, Object, ObjectName, Operation, Policy,
      Route, Service,
    },
    distribution::{
      Acceptance, AcceptanceStep, Action, Distributor, Event, Identity, LinkId, Message, Moment,
      Outcome, Profile, Question, Update, keys,
    },
    fake::Keyspace,
    fleet::{Endpoint, EndpointState, Peer},
    rollout::ShareLimits,
    store::{self, Era, Refusal, Reply, StoreRequest},
    values::{BoxId, Incarnation, Time, Version},
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{collections::BTreeMap, sync::Arc},
};

/// Timeout of a store call in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// The caller of the store.
#[derive(Clone, Copy, Debug)]
enum Caller {
  /// An operator's change, by its index.
  Change(usize),
  /// The distributor of a box since one of its starts, with the number of the call.
  Distributor { call: u64, index: usize, life: u64 },
}

#[derive(Debug)]
enum ScheduledEvent {
  Answer { caller: Caller, result: store::Result<Reply> },
  Event { event: Event, index: usize, life: u64 },
  Execute { answers: bool, caller: Caller, request: StoreRequest },
  Resume { change: usize },
  Tick { index: usize, life: u64 },
}

/// A simulated box.
pub struct SimBox {
  /// The state machine; `None` while the box is down.
  pub distributor: Option<Distributor>,
  /// When the pause of the box's process ends.
  paused_until: u64,
  pub life: u64,
  pub peer: Peer,
  /// The state of its backend server.
  pub state: EndpointState,
}

struct Connection {
  /// The box, its start number and the link's id there, for both ends.
  ends: [(usize, u64, LinkId); 2],
  /// Whether a message was lost. Nothing is delivered after that.
  is_broken: bool,
  /// When the last message arrives at each end; keeps messages in order.
  last_at: [u64; 2],
}

struct SimChange {
  acceptance: Acceptance,
  /// The box that the change was submitted to, with its start number.
  at: (usize, u64),
  id: ferryyoke::values::ChangeId,
  is_ended: bool,
}

struct Waiting {
  caller: Caller,
  deadline: u64,
  request: StoreRequest,
}

/// The active faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
  /// Pairs of boxes that cannot reach each other.
  pub blocked: Vec<(usize, usize)>,
  /// Percentage of store answers that are lost after the call took effect.
  pub lost_answers: u8,
  /// Whether watches report no changes.
  pub silent_watches: bool,
  /// Whether watches skip or repeat changes.
  pub skipping_watches: bool,
  /// Boxes that cannot reach the store.
  pub store_cut: Vec<usize>,
  /// Whether the store is down.
  pub store_down: bool,
  /// Additional latency of the store in milliseconds.
  pub store_slow_ms: u64,
}

pub struct World {
  /// Number of boxes asked by each inquiry that ended.
  pub asked: Vec<usize>,
  pub boxes: Vec<SimBox>,
  changes: Vec<SimChange>,
  connections: Vec<Connection>,
  data_halls: usize,
  pub faults: Faults,
  pub keyspace: Keyspace,
  /// Number of messages with endpoints or updates sent so far.
  pub news_sent: u64,
  /// The boxes' log lines, printed when a run fails.
  pub log: Vec<String>,
  last_link: LinkId,
  pub now: u64,
  pub oracle: Oracle,
  queue: BTreeMap<(u64, u64), ScheduledEvent>,
  /// Additional latency between two regions in milliseconds. Two data halls make a region.
  pub region_delay_ms: u64,
  rng: ChaCha8Rng,
  sequence: u64,
  pub store_calls: u64,
  waiting: Vec<Waiting>,
}

impl World {
  /// Creates and starts `boxes` boxes in `data_halls` data halls.
  pub fn new(boxes: usize, data_halls: usize, seed: u64) -> Self {
    let peer = |index: usize| Peer {
      address: ([127, 0, 0, 1], 1 + u16::try_from(index).expect("few boxes")).into(),
      box_id: format!("box-{index}").parse().expect("a name"),
      data_hall: format!("hall-{}", index % data_halls).parse().expect("a name"),
    };
    let boxes = (0..boxes).map(|index| SimBox {
      distributor: None,
      paused_until: 0,
      life: 0,
      peer: peer(index),
      state: EndpointState::Live,
    });
    let mut world = Self {
      asked: Vec::new(),
      boxes: boxes.collect(),
      changes: Vec::new(),
      connections: Vec::new(),
      data_halls,
      faults: Faults::default(),
      keyspace: Keyspace::default(),
      log: Vec::new(),
      news_sent: 0,
      last_link: LinkId::default(),
      now: 1,
      oracle: Oracle::new(),
      queue: BTreeMap::new(),
      region_delay_ms: 0,
      rng: ChaCha8Rng::seed_from_u64(seed),
      sequence: 0,
      store_calls: 0,
      waiting: Vec::new(),
    };
    for index in 0..world.boxes.len() {
      world.start(index);
    }
    world
  }

  fn schedule(&mut self, delay_ms: u64, event: ScheduledEvent) {
    self.sequence += 1;
    self.queue.insert((self.now + delay_ms, self.sequence), event);
  }

  fn moment(&self) -> Moment {
    Moment { time: Time(self.now), unix_ms: 1_000_000 + self.now }
  }

  /// Starts a box without any state, unless it runs.
  pub fn start(&mut self, index: usize) {
    if self.boxes[index].distributor.is_some() {
      return;
    }
    let seeds = self.boxes.iter().map(|one| one.peer.clone()).collect();
    let (now, seed) = (self.moment(), self.rng.random());
    let one = &mut self.boxes[index];
    one.life += 1;
    one.paused_until = 0;
    let endpoint = Endpoint {
      backend_starts: 0,
      findings: Vec::new(),
      link_mbps: 0,
      forward_address: one.peer.address,
      incarnation: Incarnation(now.unix_ms),
      peer: one.peer.clone(),
      region: "region".parse().expect("a name"),
      relay: None,
      sequence: 0,
      service: "service-0".parse().expect("a name"),
      slots: 12,
      software: None,
      state: one.state,
    };
    let identity = Identity {
      endpoint,
      seeds,
      share_limits: ShareLimits::default(),
      timing: Profile::Prompt.timing(),
    };
    one.distributor = Some(Distributor::new(now, seed, identity));
    let life = one.life;
    self.schedule(1, ScheduledEvent::Tick { index, life });
  }

  /// Crashes a box. Its neighbours see their links close, unless it crashes silently.
  pub fn crash(&mut self, index: usize, silently: bool) {
    self.boxes[index].distributor = None;
    let life = self.boxes[index].life;
    for at in 0..self.connections.len() {
      let ends = self.connections[at].ends;
      let side = ends.iter().position(|end| end.0 == index && end.1 == life);
      if let Some(side) = side {
        self.connections[at].is_broken = true;
        if !silently {
          self.notify_closed(ends[1 - side]);
        }
      }
    }
  }

  /// Reports the state of a box's backend server. `Leaving` holds until the box restarts.
  pub fn set_state(&mut self, index: usize, state: EndpointState) {
    let life = self.boxes[index].life;
    if state != EndpointState::Leaving {
      self.boxes[index].state = state;
    }
    self.handle(index, life, Event::EndpointState(state));
  }

  /// Pauses a box's process for some time. Events are handled after the pause.
  pub fn pause(&mut self, index: usize, duration_ms: u64) {
    self.boxes[index].paused_until = self.now + duration_ms;
  }

  /// Cuts one of the open links.
  pub fn cut_link(&mut self, choice: usize) {
    let open: Vec<usize> =
      (0..self.connections.len()).filter(|at| !self.connections[*at].is_broken).collect();
    if open.is_empty() {
      return;
    }
    let connection = &mut self.connections[open[choice % open.len()]];
    connection.is_broken = true;
    let ends = connection.ends;
    self.notify_closed(ends[0]);
    self.notify_closed(ends[1]);
  }

  fn notify_closed(&mut self, (index, life, link): (usize, u64, LinkId)) {
    let delay_ms = self.rng.random_range(1..50);
    self
      .schedule(delay_ms, ScheduledEvent::Event { event: Event::LinkClosed { link }, index, life });
  }

  /// Delivers a message on one of the box's links that its peer did not send.
  pub fn inject_message(&mut self, index: usize, message: Message) {
    let life = self.boxes[index].life;
    let own = self
      .connections
      .iter()
      .filter(|one| !one.is_broken)
      .find_map(|one| one.ends.iter().find(|end| end.0 == index && end.1 == life));
    if let Some((.., link)) = own {
      let event = Event::Received { link: *link, message };
      self.schedule(1, ScheduledEvent::Event { event, index, life });
    }
  }

  /// A delta from the held version with a change that was never accepted and a wrong digest.
  pub fn forged_delta(&mut self, index: usize) -> Option<Update> {
    let catalog = self.boxes[index].distributor.as_ref()?.catalog();
    let base = catalog.version()?;
    let summary = catalog.history().last()?.clone();
    let change = AcceptedChange {
      digest: catalog.digest()?,
      operations: vec![put_service(9)],
      summary: ChangeSummary { version: base.next(), ..summary },
    };
    Some(Update::Delta { base, base_digest: catalog.digest()?, changes: vec![change] })
  }

  /// The snapshot that a box would send to one that holds nothing, with altered content.
  pub fn forged_snapshot(&mut self, index: usize) -> Option<Update> {
    let catalog = self.boxes[index].distributor.as_ref()?.catalog();
    let update = catalog.update_for(None)?;
    let Update::Snapshot { changes, configuration, digest, history } = update else {
      return None;
    };
    let mut bent = (*configuration).clone();
    bent.version = Version(bent.version.0 + self.rng.random_range(0..3));
    bent.services.pop_first();
    Some(Update::Snapshot { changes, configuration: Arc::new(bent), digest, history })
  }

  /// Submits an operator's change to a box. Does nothing if the box holds no configuration.
  pub fn submit_change(&mut self, index: usize, operations: Vec<Operation>) {
    let Some(distributor) = &self.boxes[index].distributor else {
      return;
    };
    let Some(held) = distributor.catalog().configuration().cloned() else {
      return;
    };
    let id = format!("change-{}", self.changes.len()).parse().expect("a name");
    let change = Change {
      base: held.version,
      id,
      only_at: None,
      operations,
      operator: "operator".parse().expect("a name"),
      reason: String::new(),
      statement: "a change".into(),
      team: "team".parse().expect("a name"),
      unix_ms: self.now,
    };
    self.oracle.submitted(&change);
    let id = change.id.clone();
    let life = self.boxes[index].life;
    let deadline = Time(self.now + 5_000);
    let mut acceptance = Acceptance::new(change, Some(held), deadline, self.rng.random());
    let step = acceptance.resume();
    self.changes.push(SimChange { acceptance, at: (index, life), id, is_ended: false });
    self.perform_step(self.changes.len() - 1, step);
  }

  fn perform_step(&mut self, change: usize, step: AcceptanceStep) {
    match step {
      AcceptanceStep::Call(request) => self.call_store(Caller::Change(change), request),
      AcceptanceStep::Done(outcome) => {
        self.changes[change].is_ended = true;
        let id = self.changes[change].id.clone();
        match outcome {
          Outcome::Accepted { version } => {
            self.oracle.acknowledged(&id, version);
            let (index, life) = self.changes[change].at;
            self.handle(index, life, Event::Accepted { version });
          }
          Outcome::Refused(_) => self.oracle.refused(&id),
          Outcome::Unknown { .. } => {}
        }
      }
      AcceptanceStep::Wait { pause_ms } => {
        self.schedule(pause_ms, ScheduledEvent::Resume { change });
      }
    }
  }

  fn call_store(&mut self, caller: Caller, request: StoreRequest) {
    self.store_calls += 1;
    let unknown = || Err(store::Error::Unknown { reason: "no answer".into() });
    if self.is_cut_off(caller) {
      let result = if self.rng.random_bool(0.5) {
        Err(Refusal::Unreachable { reason: "down".into() }.into())
      } else {
        unknown()
      };
      return self.schedule(20, ScheduledEvent::Answer { caller, result });
    }
    let delay_ms = self.rng.random_range(1..5) + self.faults.store_slow_ms;
    let loses = self.rng.random_range(0..100) < self.faults.lost_answers;
    let too_slow = delay_ms >= STORE_TIMEOUT_MS;
    if loses || too_slow {
      let timeout_ms = STORE_TIMEOUT_MS + request.wait_ms();
      self.schedule(timeout_ms, ScheduledEvent::Answer { caller, result: unknown() });
    }
    let answers = !loses && !too_slow;
    self.schedule(delay_ms, ScheduledEvent::Execute { answers, caller, request });
  }

  /// Whether a caller cannot reach the store.
  fn is_cut_off(&self, caller: Caller) -> bool {
    let index = match caller {
      Caller::Change(change) => self.changes[change].at.0,
      Caller::Distributor { index, .. } => index,
    };
    self.faults.store_down || self.faults.store_cut.contains(&index)
  }

  fn execute(&mut self, answers: bool, caller: Caller, request: StoreRequest) {
    if let StoreRequest::Watch { wait_ms, .. } = &request {
      let deadline = self.now + wait_ms;
      if answers {
        self.waiting.push(Waiting { caller, deadline, request });
        self.wake_watches();
      }
      return;
    }
    let before = self.keyspace.revision();
    let result = self.keyspace.call(Time(self.now), &request).map_err(store::Error::Refused);
    self.record_head_write(&request, &result);
    if answers {
      self.schedule(1, ScheduledEvent::Answer { caller, result });
    }
    if self.keyspace.revision() != before {
      self.wake_watches();
    }
  }

  /// Tells the oracle when the head was written.
  fn record_head_write(&mut self, request: &StoreRequest, result: &store::Result<Reply>) {
    use StoreRequest::{CompareAndSwap, Create};
    let (CompareAndSwap { key, value, .. } | Create { key, value, .. }) = request else {
      return;
    };
    if result.is_ok() && *key == keys::head() {
      let head: Head = serde_json::from_str(value).expect("a head");
      self.oracle.head_written(&head);
    }
  }

  fn wake_watches(&mut self) {
    let waiting = std::mem::take(&mut self.waiting);
    for one in waiting {
      if self.is_cut_off(one.caller) {
        let result = Err(store::Error::Unknown { reason: "the connection broke".into() });
        self.schedule(1, ScheduledEvent::Answer { caller: one.caller, result });
        continue;
      }
      let result = self.keyspace.call(Time(self.now), &one.request);
      let has_changes = matches!(&result, Ok(Reply::Changes { events, .. }) if !events.is_empty());
      let is_over = self.now >= one.deadline;
      let reports = (has_changes && !self.faults.silent_watches) || is_over || result.is_err();
      if !reports {
        self.waiting.push(one);
        continue;
      }
      let result =
        result.map(|reply| self.inject_watch_faults(reply)).map_err(store::Error::Refused);
      self.schedule(1, ScheduledEvent::Answer { caller: one.caller, result });
    }
  }

  fn inject_watch_faults(&mut self, reply: Reply) -> Reply {
    let Reply::Changes { mut events, revision } = reply else {
      return reply;
    };
    if self.faults.skipping_watches {
      if self.rng.random_bool(0.5) {
        events.clear();
      } else {
        let again = events.clone();
        events.extend(again);
      }
    }
    Reply::Changes { events, revision }
  }

  /// Asks the fleet at a box for the record of a request.
  pub fn ask(&mut self, index: usize) {
    let question = Question::Request { id: "asked-1".parse().expect("an id") };
    let life = self.boxes[index].life;
    self.handle(index, life, Event::Asked { question, token: 1 });
  }

  /// Runs the simulation until `until`.
  pub fn run_until(&mut self, until: u64) {
    while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
      let ((at, _), event) = entry.remove_entry();
      self.now = at.max(self.now);
      self.process(event);
    }
    self.now = until;
  }

  fn process(&mut self, event: ScheduledEvent) {
    match event {
      ScheduledEvent::Answer { caller: Caller::Change(change), result } => {
        if !self.changes[change].is_ended {
          let step = self.changes[change].acceptance.answered(Time(self.now), result);
          self.perform_step(change, step);
        }
      }
      ScheduledEvent::Answer { caller: Caller::Distributor { call, index, life }, result } => {
        self.handle(index, life, Event::StoreAnswered { call, era: Era::default(), result });
      }
      ScheduledEvent::Event { event, index, life } => self.handle(index, life, event),
      ScheduledEvent::Execute { answers, caller, request } => {
        self.execute(answers, caller, request);
      }
      ScheduledEvent::Resume { change } => {
        let step = self.changes[change].acceptance.resume();
        self.perform_step(change, step);
      }
      ScheduledEvent::Tick { index, life } => {
        if self.boxes[index].life == life && self.boxes[index].distributor.is_some() {
          self.schedule(Distributor::TICK_MS, ScheduledEvent::Tick { index, life });
          if index == 0 {
            self.expire_store();
          }
          self.handle(index, life, Event::Tick);
        }
      }
    }
  }

  fn expire_store(&mut self) {
    self.keyspace.expire(Time(self.now));
    self.wake_watches();
  }

  fn handle(&mut self, index: usize, life: u64, event: Event) {
    let one = &mut self.boxes[index];
    if one.life != life || one.distributor.is_none() {
      return;
    }
    if one.paused_until > self.now {
      if !matches!(event, Event::Tick) {
        let delay_ms = one.paused_until - self.now;
        self.schedule(delay_ms, ScheduledEvent::Event { event, index, life });
      }
      return;
    }
    let moment = Moment { time: Time(self.now), unix_ms: 1_000_000 + self.now };
    let distributor = one.distributor.as_mut().expect("the box is up");
    for action in distributor.handle(moment, event) {
      self.perform(index, life, action);
    }
  }

  fn perform(&mut self, index: usize, life: u64, action: Action) {
    match action {
      Action::Answer { asked, .. } => self.asked.push(asked),
      Action::NewerVersionKnown(_)
      | Action::EndpointsChanged
      | Action::EndpointsUpdated(_)
      | Action::EvacuationsChanged(_)
      | Action::ReportRefusal { .. }
      | Action::RolloutsChanged(_)
      | Action::StoreRestored(_)
      | Action::UnreadableEntry(_) => {}
      Action::Log(text) => self.log.push(format!("{} box-{index}.{life}: {text}", self.now)),
      Action::Apply(configuration) => self.oracle.applied(index, &configuration),
      Action::CallStore { call, request } => {
        self.call_store(Caller::Distributor { call, index, life }, request);
      }
      Action::CloseLink { link } => self.close(index, link),
      Action::QueryRecords { id, .. } => {
        let event = Event::RecordsQueried { id, reports: Vec::new() };
        self.schedule(1, ScheduledEvent::Event { event, index, life });
      }
      Action::OpenLink(peer) => self.open(index, life, &peer.box_id),
      Action::Send { link, message } => self.send(index, link, message),
    }
  }

  fn is_blocked(&self, one: usize, other: usize) -> bool {
    self.faults.blocked.iter().any(|pair| *pair == (one, other) || *pair == (other, one))
  }

  fn open(&mut self, index: usize, life: u64, target: &BoxId) {
    let other = self.boxes.iter().position(|one| one.peer.box_id == *target);
    let reachable = other
      .filter(|other| self.boxes[*other].distributor.is_some() && !self.is_blocked(index, *other));
    let Some(other) = reachable else {
      let event = Event::LinkFailed { box_id: target.clone() };
      return self.schedule(5, ScheduledEvent::Event { event, index, life });
    };
    let links = [self.last_link.next(), self.last_link.next().next()];
    self.last_link = links[1];
    let other_life = self.boxes[other].life;
    let ends = [(index, life, links[0]), (other, other_life, links[1])];
    let delay_ms = self.rng.random_range(1..10);
    let arrives = self.now + delay_ms;
    self.connections.push(Connection { ends, is_broken: false, last_at: [arrives, arrives] });
    for (side, (at, at_life, link)) in ends.into_iter().enumerate() {
      let peer = self.boxes[ends[1 - side].0].peer.box_id.clone();
      let event = Event::LinkOpened { link, outbound: side == 0, peer };
      self.schedule(delay_ms, ScheduledEvent::Event { event, index: at, life: at_life });
    }
  }

  fn delay_between(&self, one: usize, other: usize) -> u64 {
    let region = |index: usize| index % self.data_halls / 2;
    if region(one) == region(other) { 0 } else { self.region_delay_ms }
  }

  fn connection_of(&self, index: usize, link: LinkId) -> Option<(usize, usize)> {
    let at = self
      .connections
      .iter()
      .rposition(|one| one.ends.iter().any(|end| end.0 == index && end.2 == link))?;
    let side = usize::from(self.connections[at].ends[1].2 == link);
    Some((at, side))
  }

  fn close(&mut self, index: usize, link: LinkId) {
    if let Some((at, side)) = self.connection_of(index, link) {
      let is_broken = std::mem::replace(&mut self.connections[at].is_broken, true);
      if !is_broken {
        self.notify_closed(self.connections[at].ends[1 - side]);
      }
    }
  }

  fn send(&mut self, index: usize, link: LinkId, message: Message) {
    let Some((at, side)) = self.connection_of(index, link) else {
      return;
    };
    if matches!(message, Message::Endpoints(_) | Message::Update(_)) {
      self.news_sent += 1;
    }
    let other = self.connections[at].ends[1 - side];
    if self.is_blocked(index, other.0) {
      self.connections[at].is_broken = true;
    }
    if self.connections[at].is_broken {
      return;
    }
    let delay_ms = self.rng.random_range(1..10) + self.delay_between(index, other.0);
    let arrives = self.now + delay_ms;
    let arrives = arrives.max(self.connections[at].last_at[1 - side]);
    self.connections[at].last_at[1 - side] = arrives;
    let event = Event::Received { link: other.2, message };
    let delay_ms = arrives - self.now;
    self.schedule(delay_ms, ScheduledEvent::Event { event, index: other.0, life: other.1 });
  }

  /// Ends all faults and starts every box that is down.
  pub fn heal(&mut self) {
    self.faults = Faults::default();
    for index in 0..self.boxes.len() {
      self.start(index);
    }
  }

  /// Describes the state of the fleet for the message of a failed check.
  fn describe(&self) -> String {
    let status = |one: &SimBox| match &one.distributor {
      Some(distributor) => format!("{} {:?}", one.peer.box_id, distributor.status()),
      None => format!("{} down", one.peer.box_id),
    };
    let boxes: Vec<String> = self.boxes.iter().map(status).collect();
    format!("{}\n{}", self.log.join("\n"), boxes.join("\n"))
  }

  /// Checks that every box holds the newest version and knows the state of every endpoint.
  pub fn check_converged(&self) {
    let newest = self.oracle.newest();
    for one in &self.boxes {
      let distributor = one.distributor.as_ref().expect("every box is up");
      let id = &one.peer.box_id;
      let held = distributor.catalog().version();
      assert_eq!(held, Some(newest), "{id} did not converge\n{}", self.describe());
      for other in &self.boxes {
        let known = distributor.endpoints().get(&other.peer.box_id).map(|known| known.state);
        let about = &other.peer.box_id;
        assert_eq!(known, Some(other.state), "{id}, about {about}\n{}", self.describe());
      }
    }
  }

  /// Number of boxes that hold a relay slot.
  pub fn relays(&self) -> usize {
    let holds = |one: &&SimBox| {
      one.distributor.as_ref().is_some_and(|distributor| distributor.status().slot.is_some())
    };
    self.boxes.iter().filter(holds).count()
  }
}

/// An operation that puts a policy.
pub fn put_policy() -> Operation {
  let policy = Policy { attempts: 2, deadline_ms: 1_000, owner: team(), queue_length: 8 };
  Operation::Put(Object::Policy("plain".parse().expect("a name"), policy))
}

/// An operation that puts a service.
pub fn put_service(number: u8) -> Operation {
  let service = Service {
    cold_start: None,
    connections: None,
    health_path: None,
    owner: team(),
    policy: "plain".parse().expect("a name"),
  };
  let name = format!("service-{number}").parse().expect("a name");
  Operation::Put(Object::Service(name, service))
}

/// An operation that deletes a service.
pub fn delete_service(number: u8) -> Operation {
  Operation::Delete(ObjectName::Service(format!("service-{number}").parse().expect("a name")))
}

/// An operation that puts a route to a service.
pub fn put_route(number: u8, service: u8) -> Operation {
  let route = Route {
    handling: Handling::default(),
    headers: BTreeMap::new(),
    host: None,
    method: None,
    owner: team(),
    path_prefix: format!("/route-{number}"),
    repeatable: true,
    service: format!("service-{service}").parse().expect("a name"),
  };
  Operation::Put(Object::Route(format!("route-{number}").parse().expect("a name"), route))
}

/// An operation that deletes a route.
pub fn delete_route(number: u8) -> Operation {
  Operation::Delete(ObjectName::Route(format!("route-{number}").parse().expect("a name")))
}

fn team() -> ferryyoke::values::Team {
  "team".parse().expect("a name")
}
