//! Two services in virtual time, of which runs of the first call the second. Limiter, balancer,
//! dispatch, room, retries and the decisions on calls are those of the product.

#![allow(clippy::cast_precision_loss)]

use {
  ferryyoke::{
    configuration::{Configuration, Handling, Revised, Route},
    fleet::Endpoint,
    requests::{
      AttemptOutcome, Balancer, CallCredit, CallTrees, CallerClass, Completion, Condition, Demand,
      Dispatch, DispatchContext, DispatchEvent, DispatchStep, EntryDecision, EntryRequest, Limiter,
      LimiterDecision, RequestProfile, RetryBudget, RetryLimits, RetryWeight, RoomDecision, Rooms,
      RunCalls, RunEstimate, Slowdown, Ticket, TryId, TryOrder, Urgency,
    },
    rollout::{Lane, Traffic},
    values::{BoxId, RouteName, ServiceName, Time, Version},
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
  },
};

use super::endpoints::endpoint;

/// Milliseconds that a message between two boxes takes.
const HOP_MS: u64 = 2;
/// Milliseconds until all boxes know that a box is lost.
const LOST_KNOWN_MS: u64 = 1_000;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
  /// Calls of a run to the second service, one after the other.
  pub calls: u32,
  /// Share of the runs that make them.
  pub calls_share: f64,
  pub per_s: f64,
  pub priority: u32,
  /// Which of the two services it is for.
  pub service: usize,
  pub target_ms: u64,
  pub timeout_ms: u64,
  pub work_ms: u64,
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
  pub asked: u32,
  /// Runs that ended for a failed call.
  pub failed: u32,
  pub in_time: u32,
  pub late: u32,
  pub refused: u32,
}

impl Outcomes {
  /// Returns the share of the requests that ended which were answered in time.
  pub fn share_in_time(&self) -> f64 {
    let ended = self.failed + self.in_time + self.late + self.refused;
    f64::from(self.in_time) / f64::from(ended.max(1))
  }
}

struct Request {
  at_box: usize,
  deadline: Time,
  dispatch: Dispatch,
  due: Time,
  kind: usize,
  /// The run that needs it, if it is a call.
  parent: Option<Ticket>,
  sent_at: u64,
  urgency: Urgency,
}

struct Run {
  at_box: usize,
  calls_left: u32,
  credit: CallCredit,
  deadline: Time,
  due: Time,
  id: TryId,
  is_begun: bool,
  kind: usize,
  made: RunCalls,
  request: u64,
  work_ms: u64,
}

enum Event {
  Enter { kind: usize },
  TryArrives { at_box: usize, request: u64, order: Box<TryOrder> },
  TryEnds { at_box: usize, calls: RunCalls, id: TryId, outcome: AttemptOutcome, request: u64 },
  WaitEnds(Ticket),
  WorkEnds(Ticket),
}

struct Daemon {
  balancer: Balancer,
  budget: RetryBudget,
  limiter: Limiter,
  rooms: Rooms,
  trees: CallTrees,
}

pub struct CallWorld {
  daemons: Vec<Daemon>,
  endpoints: [Vec<Endpoint>; 2],
  events: BTreeMap<(u64, u64), Event>,
  pub kinds: Vec<Kind>,
  pub lost: BTreeSet<usize>,
  next: u64,
  pub now: u64,
  pub outcomes: Vec<Outcomes>,
  /// Share of the arrivals that backend servers of the second service reject.
  pub rejects: f64,
  requests: BTreeMap<u64, Request>,
  rng: ChaCha8Rng,
  runs: BTreeMap<Ticket, Run>,
}

pub fn service(index: usize) -> ServiceName {
  ["first", "second"][index].parse().expect("a name")
}

fn route(kind: usize) -> RouteName {
  format!("route-{kind}").parse().expect("a name")
}

fn configuration(kinds: &[Kind]) -> Configuration {
  let mut configuration = Configuration::default();
  for (index, kind) in kinds.iter().enumerate() {
    let value = Route {
      handling: Handling { priority: kind.priority, ..Handling::default() },
      headers: BTreeMap::new(),
      host: None,
      method: None,
      owner: "team".parse().expect("a name"),
      path_prefix: format!("/{index}"),
      repeatable: true,
      service: service(kind.service),
    };
    configuration.routes.insert(route(index), Revised { revision: Version(1), value });
  }
  configuration
}

impl CallWorld {
  /// Creates a world of so many boxes of each service, with so many slots each.
  pub fn new(seed: u64, boxes: [usize; 2], slots: u32, kinds: &[Kind]) -> Self {
    let configuration = Arc::new(configuration(kinds));
    let count = boxes[0] + boxes[1];
    let new_daemon = || {
      let (mut budget, mut rooms) = (RetryBudget::default(), Rooms::default());
      budget.set_limits(RetryLimits::share(0.2, 60, count));
      rooms.configure(configuration.clone());
      let limiter = Limiter::new(slots as usize, 24);
      let (balancer, trees) = (Balancer::default(), CallTrees::default());
      Daemon { balancer, budget, limiter, rooms, trees }
    };
    let endpoint_of = |at_box: usize| {
      let name = format!("box-{at_box}");
      let service = service(usize::from(at_box >= boxes[0]));
      Endpoint { service, ..endpoint(&name, &format!("hall-{}", at_box % 3), slots) }
    };
    Self {
      daemons: (0..count).map(|_| new_daemon()).collect(),
      endpoints: [
        (0..boxes[0]).map(endpoint_of).collect(),
        (boxes[0]..count).map(endpoint_of).collect(),
      ],
      events: BTreeMap::new(),
      kinds: kinds.to_vec(),
      lost: BTreeSet::new(),
      next: 0,
      now: 0,
      outcomes: vec![Outcomes::default(); kinds.len()],
      rejects: 0.0,
      requests: BTreeMap::new(),
      rng: ChaCha8Rng::seed_from_u64(seed),
      runs: BTreeMap::new(),
    }
  }

  fn schedule(&mut self, after_ms: u64, event: Event) {
    self.next += 1;
    self.events.insert((self.now + after_ms, self.next), event);
  }

  /// Lets callers send requests for `for_ms` milliseconds.
  pub fn run(&mut self, for_ms: u64) {
    let (start, end) = (self.now, self.now + for_ms);
    for kind in 0..self.kinds.len() {
      let mut at_ms = 0.0;
      loop {
        at_ms -= 1_000.0 / self.kinds[kind].per_s * (1.0 - self.rng.random::<f64>()).ln();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let after_ms = at_ms as u64;
        if start + after_ms >= end {
          break;
        }
        self.schedule(after_ms, Event::Enter { kind });
      }
    }
    while self.events.first_key_value().is_some_and(|((at, _), _)| *at < end) {
      let ((at, _), event) = self.events.pop_first().expect("not empty");
      self.now = at;
      self.handle(event);
    }
    self.now = end;
  }

  /// Takes boxes out, with all that runs and waits there.
  pub fn lose(&mut self, boxes: impl Iterator<Item = usize>) {
    self.lost.extend(boxes);
    let is_lost = |run: &Run| self.lost.contains(&run.at_box);
    let ended: Vec<_> =
      self.runs.iter().filter(|(_, run)| is_lost(run)).map(|(ticket, _)| *ticket).collect();
    for ticket in ended {
      let run = self.runs.remove(&ticket).expect("it runs");
      let outcome = AttemptOutcome::Unknown { reason: "the connection broke".into() };
      self.answer(run.at_box, run.id, run.request, outcome, RunCalls::default());
    }
  }

  fn handle(&mut self, event: Event) {
    match event {
      Event::Enter { kind } => {
        let at_box = self.rng.random_range(0..self.daemons.len());
        if !self.lost.contains(&at_box) {
          self.outcomes[kind].asked += 1;
          self.enter(at_box, kind);
        }
      }
      Event::TryArrives { at_box, request, order } => self.try_arrives(at_box, request, &order),
      Event::TryEnds { at_box, calls, id, outcome, request } => {
        self.try_ends(at_box, &calls, id, outcome, request);
      }
      Event::WaitEnds(ticket) => {
        if self.runs.get(&ticket).is_some_and(|run| !run.is_begun) {
          self.end_run(ticket, AttemptOutcome::declined("no slot in time", 100));
        }
      }
      Event::WorkEnds(ticket) => self.go_on(ticket),
    }
  }

  fn enter(&mut self, at_box: usize, kind: usize) {
    let asked = self.kinds[kind];
    let (now, deadline) = (Time(self.now), Time(self.now + asked.timeout_ms));
    let handling = Handling { target_ms: Some(asked.target_ms), ..Handling::default() };
    let urgency = Urgency::of(now, deadline, &handling, asked.priority, false, 0);
    let (name, service) = (route(kind), service(asked.service));
    let request = EntryRequest {
      deadline,
      estimate: Some(Self::estimate(asked.work_ms)),
      organisation: None,
      route: &name,
      service: &service,
      urgency,
    };
    let Daemon { rooms, trees, .. } = &mut self.daemons[at_box];
    let wait_ms = |service: &ServiceName| rooms.forecast(now, service, 0).map(|room| room.wait_ms);
    let has_calls = trees.decide(now, &request, wait_ms) == EntryDecision::Admit;
    let decision = has_calls.then(|| rooms.decide(now, &request));
    if let Some(RoomDecision::Admit { priority }) = decision {
      let urgency = Urgency { priority, ..urgency };
      let calls = self.daemons[at_box].trees.calls_of(&name);
      self.send(at_box, kind, None, deadline, urgency, calls);
    } else {
      self.outcomes[kind].refused += 1;
    }
  }

  fn estimate(work_ms: u64) -> RunEstimate {
    RunEstimate { spread_percent: 30, usual_us: work_ms * 1_000 }
  }

  fn send(
    &mut self,
    at_box: usize,
    kind: usize,
    parent: Option<Ticket>,
    deadline: Time,
    urgency: Urgency,
    calls: Option<Vec<(ServiceName, u32)>>,
  ) {
    let asked = self.kinds[kind];
    let profile = RequestProfile {
      answer_bytes: 1_000,
      attempts_max: 3,
      body_bytes: 0,
      deadline,
      estimate: Some(Self::estimate(asked.work_ms)),
      is_body_held: true,
      lane: Lane::InForce,
      only_box: None,
      regions: None,
      repeatable: true,
      retry_failures: false,
      service: service(asked.service),
      urgency,
    };
    let done = parent.map_or(0, |parent| self.runs[&parent].made.succeeded());
    let weight = RetryWeight::of(parent.is_some(), done);
    let dispatch = Dispatch::new(profile).with_calls(weight, calls);
    self.next += 1;
    let (request, due, sent_at) = (self.next, Time(self.now + asked.target_ms), self.now);
    let known = Request { at_box, deadline, dispatch, due, kind, parent, sent_at, urgency };
    self.requests.insert(request, known);
    self.advance(request, DispatchEvent::Started);
  }

  fn advance(&mut self, request: u64, event: DispatchEvent) {
    let known = self.requests.get_mut(&request).expect("under way");
    let (at_box, kind) = (known.at_box, known.kind);
    let (now, name) = (Time(self.now), service(self.kinds[kind].service));
    let daemon = &mut self.daemons[at_box];
    let mut context = DispatchContext {
      balancer: &mut daemon.balancer,
      budget: &mut daemon.budget,
      candidates: &self.endpoints[self.kinds[kind].service],
      data_hall: &format!("hall-{}", at_box % 3).parse().expect("a name"),
      evacuated: &BTreeSet::new(),
      is_drained: &|_: &BoxId| false,
      now,
      own_box: &format!("box-{at_box}").parse().expect("a name"),
      rng: &mut self.rng,
      room: daemon.rooms.forecast(now, &name, known.urgency.priority),
      traffic: &Traffic::default(),
    };
    let step = known.dispatch.handle(event, &mut context);
    match step {
      DispatchStep::Answer { .. } => self.end_request(request, None),
      DispatchStep::Refuse(outcome) => self.end_request(request, Some(outcome.is_declined())),
      DispatchStep::Try(order) => {
        let box_id = &order.endpoint.peer.box_id;
        self.daemons[at_box].balancer.started(box_id);
        let to = box_id.as_str().trim_start_matches("box-").parse().expect("a number");
        self.schedule(HOP_MS, Event::TryArrives { at_box: to, request, order });
      }
      DispatchStep::CheckArrival { .. } | DispatchStep::Wait => {}
    }
  }

  /// Ends a request. `refused` is `None` if it was answered, else whether its service was full.
  fn end_request(&mut self, request: u64, refused: Option<bool>) {
    let known = self.requests.remove(&request).expect("under way");
    let name = service(self.kinds[known.kind].service);
    let rooms = &mut self.daemons[known.at_box].rooms;
    let rank = known.parent.is_none().then_some(self.kinds[known.kind].priority);
    rooms.note_ended(Time(self.now), &name, rank, refused == Some(true));
    let waits = |(_, run): &(&Ticket, &Run)| run.request == request && !run.is_begun;
    let waiting: Vec<_> = self.runs.iter().filter(waits).map(|(ticket, _)| *ticket).collect();
    for ticket in waiting {
      self.end_run(ticket, AttemptOutcome::declined("its request ended", 1));
    }
    let Some(parent) = known.parent else {
      let outcomes = &mut self.outcomes[known.kind];
      let is_late = Time(self.now) > known.due;
      outcomes.refused += u32::from(refused.is_some());
      outcomes.late += u32::from(refused.is_none() && is_late);
      outcomes.in_time += u32::from(refused.is_none() && !is_late);
      return;
    };
    let Some(run) = self.runs.get_mut(&parent) else { return };
    let took_us = (self.now - known.sent_at) * 1_000;
    run.made.add(self.now * 1_000, &name, took_us, refused.is_some());
    if refused.is_some() {
      self.end_run(parent, AttemptOutcome::Answered { status: 500 });
    } else {
      self.go_on(parent);
    }
  }

  /// Makes the next call of a run, or ends the run.
  fn go_on(&mut self, ticket: Ticket) {
    let Some(run) = self.runs.get_mut(&ticket) else { return };
    if run.calls_left == 0 {
      return self.end_run(ticket, AttemptOutcome::Answered { status: 200 });
    }
    run.calls_left -= 1;
    // The last kind is that of calls.
    let (at_box, kind) = (run.at_box, self.kinds.len() - 1);
    let called = self.kinds[kind];
    let budget = &mut self.daemons[at_box].budget;
    budget.earn_passed(&service(called.service), &mut run.credit);
    let (parent_due, parent_target) = (run.deadline, run.due);
    let (now, deadline) = (Time(self.now), Time(self.now + called.timeout_ms));
    let handling = Handling { target_ms: Some(called.target_ms), ..Handling::default() };
    let urgency = Urgency::of(now, deadline, &handling, 0, true, 0);
    let urgency = urgency.within_parent(deadline, Some(parent_due), called.work_ms);
    let urgency = urgency.due_with_parent(Some(parent_target));
    self.send(at_box, kind, Some(ticket), deadline.min(parent_due), urgency, Some(Vec::new()));
  }

  fn try_arrives(&mut self, at_box: usize, request: u64, order: &TryOrder) {
    let Some(known) = self.requests.get(&request) else { return };
    let (kind, id, deadline) = (self.kinds[known.kind], order.id, known.deadline);
    let refuse = |outcome| (at_box, id, request, outcome, RunCalls::default());
    let answer = if self.lost.contains(&at_box) {
      Some(refuse(AttemptOutcome::not_run("unreachable", 0)))
    } else if kind.service == 1 && self.rng.random_bool(self.rejects) {
      let (declined, reason) = (false, "rejected".into());
      Some(refuse(AttemptOutcome::NotRun { arrived: true, declined, reason, retry_after_ms: 100 }))
    } else {
      None
    };
    if let Some((at_box, id, request, outcome, calls)) = answer {
      return self.answer(at_box, id, request, outcome, calls);
    }
    let is_call = known.parent.is_some();
    let Urgency { due, priority, wait_until, .. } = known.urgency;
    let class = CallerClass::unnamed();
    let demand = Demand { due, is_call, priority, wait_until, ..Demand::new(class, due) };
    self.next += 1;
    let (ticket, now) = (Ticket(self.next), Time(self.now));
    let calls = if self.rng.random_bool(kind.calls_share) { kind.calls } else { 0 };
    let run = Run {
      at_box,
      calls_left: calls,
      credit: order.call_credit.clone(),
      deadline,
      due,
      id,
      is_begun: false,
      kind: known.kind,
      made: RunCalls::default(),
      request,
      work_ms: self.rng.random_range(kind.work_ms / 2..=kind.work_ms * 3 / 2),
    };
    let limiter = &mut self.daemons[at_box].limiter;
    match limiter.arrive(now, ticket, demand) {
      LimiterDecision::Admitted => {
        self.runs.insert(ticket, run);
        self.begin(ticket);
      }
      LimiterDecision::Queued { max_wait_ms } if order.may_queue => {
        self.runs.insert(ticket, run);
        self.schedule(max_wait_ms, Event::WaitEnds(ticket));
      }
      LimiterDecision::Queued { .. } => {
        limiter.leave(now, ticket);
        self.answer(at_box, id, request, AttemptOutcome::declined("busy", 1), RunCalls::default());
      }
      LimiterDecision::Shed { retry_after_ms } => {
        let outcome = AttemptOutcome::declined("full", retry_after_ms);
        self.answer(at_box, id, request, outcome, RunCalls::default());
      }
    }
  }

  fn begin(&mut self, ticket: Ticket) {
    let Some(run) = self.runs.get_mut(&ticket) else { return };
    run.is_begun = true;
    let work_ms = run.work_ms;
    self.schedule(work_ms, Event::WorkEnds(ticket));
  }

  fn end_run(&mut self, ticket: Ticket, outcome: AttemptOutcome) {
    let Some(run) = self.runs.remove(&ticket) else { return };
    if let AttemptOutcome::Answered { status: 500 } = outcome {
      self.outcomes[run.kind].failed += 1;
    }
    for admitted in self.daemons[run.at_box].limiter.leave(Time(self.now), ticket) {
      self.begin(admitted);
    }
    self.answer(run.at_box, run.id, run.request, outcome, run.made);
  }

  fn answer(
    &mut self,
    at_box: usize,
    id: TryId,
    request: u64,
    outcome: AttemptOutcome,
    calls: RunCalls,
  ) {
    self.schedule(HOP_MS, Event::TryEnds { at_box, calls, id, outcome, request });
  }

  fn try_ends(
    &mut self,
    at_box: usize,
    calls: &RunCalls,
    id: TryId,
    outcome: AttemptOutcome,
    request: u64,
  ) {
    let Some(known) = self.requests.get(&request) else { return };
    let (now, kind, taker) = (Time(self.now), known.kind, known.at_box);
    let is_lost = self.lost.contains(&at_box);
    let condition = (!is_lost).then(|| Condition {
      load_percent: self.daemons[at_box].limiter.load_percent(now),
      service_us: self.kinds[kind].work_ms * 1_000,
      slowdown: Some(Slowdown::from_percent(100)),
      ..Condition::default()
    });
    let completion = match &outcome {
      AttemptOutcome::Answered { .. } => Completion::Served { condition, latency_us: None },
      outcome if outcome.is_declined() => Completion::Shed { condition },
      _ if is_lost => Completion::Unreachable,
      _ => Completion::Failed,
    };
    let box_id: BoxId = format!("box-{at_box}").parse().expect("a name");
    let endpoints = &self.endpoints[self.kinds[kind].service];
    let daemon = &mut self.daemons[taker];
    daemon.balancer.completed(now, &box_id, completion);
    daemon.balancer.ended(&box_id);
    let endpoint = endpoints.iter().find(|one| one.peer.box_id == box_id);
    if let Some((endpoint, condition)) = endpoint.zip(condition) {
      daemon.rooms.note_report(now, endpoint, condition, outcome.is_declined());
    }
    if let AttemptOutcome::Answered { status } = outcome {
      daemon.trees.record(now, &route(kind), calls, status == 500);
      // A run that failed is final. Its caller got an answer, but not in time.
      if status == 500 && known.parent.is_none() {
        self.requests.remove(&request);
        return;
      }
    }
    self.advance(request, DispatchEvent::Ended { body_resendable: true, id, outcome });
  }

  /// Lets the boxes know which ones are lost.
  pub fn forget_lost(&mut self) {
    self.run(LOST_KNOWN_MS);
    let lost: BTreeSet<BoxId> =
      self.lost.iter().map(|index| format!("box-{index}").parse().expect("a name")).collect();
    for endpoints in &mut self.endpoints {
      endpoints.retain(|one| !lost.contains(&one.peer.box_id));
    }
    for daemon in &mut self.daemons {
      for box_id in &lost {
        daemon.balancer.forget(box_id);
      }
    }
  }
}
