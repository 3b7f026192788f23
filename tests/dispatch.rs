//! Tests the dispatch state machine without sockets: single cases, and invariants over random
//! histories.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    fleet::{Endpoint, EndpointState},
    requests::{
      AttemptOutcome, Balancer, Completion, Condition, Dispatch, DispatchContext, DispatchEvent,
      DispatchStep, RequestProfile, RetryBudget, RetryLimits, RetryWeight, RoomForecast, TryId,
      TryOrder, Urgency,
    },
    rollout::{Lane, Traffic},
    values::{BoxId, DataHall, ServiceName, Time},
  },
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  std::collections::BTreeSet,
  support::{endpoints::endpoint, histories},
};

/// Number of random histories.
const HISTORIES: u64 = 2_000;
/// When each request arrives.
const START: Time = Time(1_000);

/// The state of a daemon on which dispatch depends.
struct Daemon {
  balancer: Balancer,
  budget: RetryBudget,
  evacuated: BTreeSet<DataHall>,
  endpoints: Vec<Endpoint>,
  now: Time,
  rng: ChaCha8Rng,
  room: Option<RoomForecast>,
  traffic: Traffic,
}

impl Daemon {
  fn new(boxes: usize) -> Self {
    let mut budget = RetryBudget::default();
    budget.set_limits(RetryLimits { earned: 1_000, saved_max: 10_000 });
    Self {
      balancer: Balancer::default(),
      budget,
      evacuated: BTreeSet::new(),
      endpoints: (0..boxes)
        .map(|index| endpoint(&format!("box-{index}"), &format!("hall-{}", index % 2), 4))
        .collect(),
      now: START,
      rng: ChaCha8Rng::seed_from_u64(7),
      room: None,
      traffic: Traffic::default(),
    }
  }

  fn handle(&mut self, dispatch: &mut Dispatch, event: DispatchEvent) -> DispatchStep {
    let data_hall = "hall-0".parse().expect("a name");
    let mut context = DispatchContext {
      balancer: &mut self.balancer,
      budget: &mut self.budget,
      candidates: &self.endpoints,
      data_hall: &data_hall,
      evacuated: &self.evacuated,
      is_drained: &|_: &BoxId| false,
      now: self.now,
      own_box: &"own-box".parse().expect("a name"),
      rng: &mut self.rng,
      room: self.room,
      traffic: &self.traffic,
    };
    dispatch.handle(event, &mut context)
  }

  /// Starts a request and returns its first try.
  fn start(&mut self, dispatch: &mut Dispatch) -> TryOrder {
    ordered(self.handle(dispatch, DispatchEvent::Started))
  }

  /// Advances the time to the next wake-up until the step is no question to a box. Each question is
  /// answered with "still working on it".
  fn wake(&mut self, dispatch: &mut Dispatch) -> DispatchStep {
    loop {
      self.now = dispatch.wake_at().expect("it wants to be woken");
      match self.handle(dispatch, DispatchEvent::Woken) {
        DispatchStep::CheckArrival { id } => {
          let step = self.handle(dispatch, DispatchEvent::StillPending { id });
          assert!(matches!(step, DispatchStep::Wait), "{step:?}");
        }
        step => return step,
      }
    }
  }

  fn end(&mut self, dispatch: &mut Dispatch, id: TryId, outcome: AttemptOutcome) -> DispatchStep {
    self.handle(dispatch, DispatchEvent::Ended { body_resendable: true, id, outcome })
  }
}

fn ordered(step: DispatchStep) -> TryOrder {
  match step {
    DispatchStep::Try(order) => *order,
    other => panic!("no try but {other:?}"),
  }
}

fn profile(repeatable: bool) -> RequestProfile {
  RequestProfile {
    answer_bytes: 1_000,
    attempts_max: 2,
    body_bytes: 0,
    deadline: START.after(1_200),
    estimate: None,
    is_body_held: true,
    lane: Lane::InForce,
    only_box: None,
    regions: None,
    repeatable,
    retry_failures: repeatable,
    service: "service".parse().expect("a name"),
    urgency: Urgency {
      due: START.after(200),
      elapsed_ms: 0,
      is_call: false,
      priority: 1,
      wait_until: START.after(200),
    },
  }
}

fn full() -> AttemptOutcome {
  AttemptOutcome::declined("full", 5)
}

fn unknown() -> AttemptOutcome {
  AttemptOutcome::Unknown { reason: "it broke".into() }
}

/// Holds even if no other data hall is left.
/// Guards against many tries at a service that is known to be full: one box is asked to run the
/// request at once, then it queues, and it is refused after two full queues.
#[test]
fn few_boxes_are_asked_while_the_service_is_known_to_be_full() {
  let mut daemon = Daemon::new(10);
  daemon.room = Some(RoomForecast { free_percent: 0, wait_ms: 100 });
  let mut dispatch = Dispatch::new(profile(true));
  let mut order = daemon.start(&mut dispatch);
  let mut queued = Vec::new();
  loop {
    queued.push(order.may_queue);
    let step = daemon.end(&mut dispatch, order.id, AttemptOutcome::declined("full", 10));
    match step {
      DispatchStep::Try(next) => order = *next,
      DispatchStep::Refuse(_) => break,
      other => panic!("{other:?}"),
    }
  }
  assert_eq!(queued, [false, true, true]);
}

#[test]
fn an_evacuated_data_hall_gets_no_tries() {
  let mut daemon = Daemon::new(4);
  daemon.evacuated.insert("hall-0".parse().expect("a name"));
  for _ in 0..50 {
    let order = daemon.start(&mut Dispatch::new(profile(true)));
    assert_eq!(order.endpoint.peer.data_hall.as_str(), "hall-1");
  }
  daemon.evacuated.insert("hall-1".parse().expect("a name"));
  let step = daemon.handle(&mut Dispatch::new(profile(true)), DispatchEvent::Started);
  assert!(matches!(step, DispatchStep::Refuse(AttemptOutcome::NotRun { .. })), "{step:?}");
}

/// Holds even if the allowed regions have no backend server.
#[test]
fn a_request_is_served_only_in_its_allowed_regions() {
  let mut daemon = Daemon::new(4);
  daemon.endpoints[3].region = "elsewhere".parse().expect("a name");
  let bound = |region: &str| {
    let regions = Some(BTreeSet::from([region.parse().expect("a name")]));
    Dispatch::new(RequestProfile { regions, ..profile(true) })
  };
  for _ in 0..50 {
    assert_eq!(daemon.start(&mut bound("elsewhere")).endpoint.peer.box_id.as_str(), "box-3");
    assert_ne!(daemon.start(&mut bound("region")).endpoint.peer.box_id.as_str(), "box-3");
  }
  let step = daemon.handle(&mut bound("nowhere"), DispatchEvent::Started);
  assert!(matches!(step, DispatchStep::Refuse(AttemptOutcome::NotRun { .. })), "{step:?}");
}

/// The answer may be lost or queued in front of a full link, which the daemon can't tell apart.
#[test]
fn an_overdue_answer_is_hedged_and_still_accepted() {
  let mut daemon = Daemon::new(3);
  let mut dispatch = Dispatch::new(profile(true));
  let first = daemon.start(&mut dispatch);
  daemon.now = START.after(100);
  let second = ordered(daemon.handle(&mut dispatch, DispatchEvent::Overdue { id: first.id }));
  assert_ne!(second.endpoint.peer.box_id, first.endpoint.peer.box_id);
  let third = daemon.handle(&mut dispatch, DispatchEvent::Overdue { id: first.id });
  assert!(matches!(third, DispatchStep::Wait), "at most two are in flight: {third:?}");
  let step = daemon.end(&mut dispatch, first.id, AttemptOutcome::Answered { status: 200 });
  assert!(matches!(step, DispatchStep::Answer { id } if id == first.id), "{step:?}");
}

#[test]
fn a_request_that_must_not_run_twice_waits_for_an_overdue_answer() {
  let mut daemon = Daemon::new(3);
  let mut dispatch = Dispatch::new(profile(false));
  let first = daemon.start(&mut dispatch);
  let step = daemon.handle(&mut dispatch, DispatchEvent::Overdue { id: first.id });
  assert!(matches!(step, DispatchStep::Wait), "{step:?}");
}

#[test]
fn boxes_are_asked_before_a_request_queues_and_it_is_refused_if_all_are_full() {
  let mut daemon = Daemon::new(6);
  let mut dispatch = Dispatch::new(profile(true));
  let mut order = daemon.start(&mut dispatch);
  let (mut asked, mut waited) = (0, 0);
  let refused = loop {
    *(if order.may_queue { &mut waited } else { &mut asked }) += 1;
    match daemon.end(&mut dispatch, order.id, full()) {
      DispatchStep::Try(next) => order = *next,
      DispatchStep::Refuse(outcome) => break outcome,
      other => panic!("{other:?}"),
    }
  };
  assert_eq!((asked, waited), (4, 3));
  let AttemptOutcome::NotRun { retry_after_ms, .. } = refused else {
    panic!("{refused:?}");
  };
  assert!((300..=480).contains(&retry_after_ms), "a third of its time: {retry_after_ms}");
}

#[test]
fn callers_that_are_refused_together_retry_at_different_times() {
  let mut daemon = Daemon::new(1);
  let mut returns = std::collections::BTreeSet::new();
  for _ in 0..50 {
    let mut dispatch = Dispatch::new(RequestProfile { attempts_max: 1, ..profile(false) });
    let mut step = daemon.handle(&mut dispatch, DispatchEvent::Started);
    while let DispatchStep::Try(order) = step {
      step = daemon.end(&mut dispatch, order.id, full());
    }
    let DispatchStep::Refuse(AttemptOutcome::NotRun { retry_after_ms, .. }) = step else {
      panic!("{step:?}");
    };
    returns.insert(retry_after_ms);
  }
  assert!(returns.len() > 20, "{returns:?}");
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_repeatable() {
  let mut daemon = Daemon::new(4);
  let mut dispatch = Dispatch::new(profile(false));
  let first = daemon.start(&mut dispatch);
  let step = daemon.end(&mut dispatch, first.id, unknown());
  assert!(matches!(step, DispatchStep::Refuse(AttemptOutcome::Unknown { .. })), "{step:?}");
  let mut dispatch = Dispatch::new(profile(true));
  let first = daemon.start(&mut dispatch);
  let second = ordered(daemon.end(&mut dispatch, first.id, unknown()));
  assert_ne!(first.endpoint.peer.box_id, second.endpoint.peer.box_id);
}

/// Guards against a refusal that says "not run" after an earlier try that may have run.
#[test]
fn a_refusal_after_a_try_that_may_have_run_says_so() {
  let mut daemon = Daemon::new(4);
  let mut dispatch = Dispatch::new(RequestProfile { attempts_max: 5, ..profile(true) });
  let first = daemon.start(&mut dispatch);
  let mut step = daemon.end(&mut dispatch, first.id, unknown());
  let mut tried = 0;
  while let DispatchStep::Try(order) = step {
    tried += 1;
    step = daemon.end(&mut dispatch, order.id, full());
  }
  assert!(tried > 0, "it is tried again");
  assert!(matches!(step, DispatchStep::Refuse(AttemptOutcome::Unknown { .. })), "{step:?}");
}

#[test]
fn a_failure_answer_is_returned_if_no_other_try_is_answered() {
  let mut daemon = Daemon::new(3);
  let mut dispatch = Dispatch::new(RequestProfile { attempts_max: 5, ..profile(true) });
  let first = daemon.start(&mut dispatch);
  let mut step = daemon.end(&mut dispatch, first.id, AttemptOutcome::Answered { status: 500 });
  while let DispatchStep::Try(order) = step {
    step = daemon.end(&mut dispatch, order.id, full());
  }
  assert!(matches!(step, DispatchStep::Answer { id } if id == first.id), "{step:?}");
}

#[test]
fn a_slow_try_is_hedged_and_the_first_answer_wins() {
  let mut daemon = Daemon::new(4);
  for index in 0..4 {
    let box_id = daemon.endpoints[index].peer.box_id.clone();
    let condition = Some(Condition { load_percent: 10, ..Condition::default() });
    let completion = Completion::Served { condition, latency_us: Some(1) };
    daemon.balancer.completed(START.after(200), &box_id, completion);
  }
  let mut dispatch = Dispatch::new(profile(true));
  let first = daemon.start(&mut dispatch);
  let second = ordered(daemon.wake(&mut dispatch));
  assert!(daemon.now >= START.after(200), "not before the answer is due");
  assert_ne!(first.endpoint.peer.box_id, second.endpoint.peer.box_id);
  let step = daemon.end(&mut dispatch, second.id, AttemptOutcome::Answered { status: 200 });
  assert!(matches!(step, DispatchStep::Answer { id } if id == second.id), "{step:?}");
}

// Guards against a hedged try that is sent without the body of its request, as another try has taken it.
#[test]
fn a_request_with_a_streamed_body_is_not_hedged() {
  let mut daemon = Daemon::new(4);
  for endpoint in &daemon.endpoints {
    let condition = Some(Condition { load_percent: 10, ..Condition::default() });
    let completion = Completion::Served { condition, latency_us: Some(1) };
    daemon.balancer.completed(START.after(200), &endpoint.peer.box_id, completion);
  }
  let mut dispatch = Dispatch::new(RequestProfile { is_body_held: false, ..profile(true) });
  let first = daemon.start(&mut dispatch);
  while let Some(at) = dispatch.wake_at().filter(|at| *at < profile(true).deadline) {
    daemon.now = at;
    let mut step = daemon.handle(&mut dispatch, DispatchEvent::Woken);
    if matches!(step, DispatchStep::CheckArrival { .. }) {
      step = daemon.handle(&mut dispatch, DispatchEvent::Overdue { id: first.id });
    }
    assert!(matches!(step, DispatchStep::Wait), "{step:?}");
  }
  let lost = DispatchEvent::NeverArrived { body_resendable: true, id: first.id };
  let second = ordered(daemon.handle(&mut dispatch, lost));
  assert_ne!(second.id, first.id, "a try that returned the body may be followed by another");
}

#[test]
fn the_connect_timeout_is_a_fraction_of_the_time_until_the_answer_is_due() {
  let mut daemon = Daemon::new(2);
  let mut dispatch = Dispatch::new(profile(true));
  assert_eq!(daemon.start(&mut dispatch).connect_ms, 50);
  let urgency = Urgency { due: START.after(2_000), ..profile(true).urgency };
  let mut dispatch = Dispatch::new(RequestProfile { urgency, ..profile(true) });
  assert_eq!(daemon.start(&mut dispatch).connect_ms, 500);
}

/// Requests were sent on dead connections without a check of their arrival. A request that must not
/// run twice then waited until its deadline, and its caller couldn't retry.
#[test]
fn a_try_that_never_arrived_is_repeated_even_if_the_request_is_not_repeatable() {
  for repeatable in [false, true] {
    let mut daemon = Daemon::new(1);
    let mut dispatch = Dispatch::new(RequestProfile { attempts_max: 1, ..profile(repeatable) });
    let first = daemon.start(&mut dispatch);
    daemon.now = dispatch.wake_at().expect("it wants to be woken");
    assert!(daemon.now <= START.after(150), "there is time left for another try");
    let step = daemon.handle(&mut dispatch, DispatchEvent::Woken);
    assert!(matches!(step, DispatchStep::CheckArrival { id } if id == first.id), "{step:?}");
    let lost = DispatchEvent::NeverArrived { body_resendable: true, id: first.id };
    let second = ordered(daemon.handle(&mut dispatch, lost));
    assert_eq!(second.endpoint, first.endpoint, "the loss does not count against the box");
  }
}

#[test]
fn a_try_that_never_arrived_ends_as_not_run_if_its_body_is_gone() {
  let mut daemon = Daemon::new(3);
  let mut dispatch = Dispatch::new(profile(false));
  let first = daemon.start(&mut dispatch);
  let step = daemon
    .handle(&mut dispatch, DispatchEvent::NeverArrived { body_resendable: false, id: first.id });
  assert!(matches!(step, DispatchStep::Refuse(AttemptOutcome::NotRun { .. })), "{step:?}");
}

/// Each question costs bytes, and a box that just answered one is known to work on the try.
#[test]
fn the_interval_between_arrival_checks_doubles() {
  let mut daemon = Daemon::new(1);
  let mut dispatch = Dispatch::new(RequestProfile { attempts_max: 1, ..profile(false) });
  daemon.start(&mut dispatch);
  let mut asked_at = Vec::new();
  while let Some(at) = dispatch.wake_at().filter(|at| *at < START.after(1_200)) {
    daemon.now = at;
    let step = daemon.handle(&mut dispatch, DispatchEvent::Woken);
    assert!(matches!(step, DispatchStep::CheckArrival { .. }), "{step:?}");
    asked_at.push(at.since_ms(START));
  }
  assert_eq!(asked_at, [150, 450, 1_050]);
}

/// No connection leads to the local backend server that could die unnoticed.
#[test]
fn the_own_box_gets_no_arrival_checks() {
  let mut daemon = Daemon::new(1);
  daemon.endpoints[0].peer.box_id = "own-box".parse().expect("a name");
  let mut dispatch = Dispatch::new(RequestProfile { attempts_max: 1, ..profile(false) });
  daemon.start(&mut dispatch);
  assert_eq!(dispatch.wake_at(), None);
}

#[test]
fn a_request_is_refused_if_no_backend_server_accepts_requests() {
  let mut daemon = Daemon::new(2);
  daemon.endpoints.iter_mut().for_each(|one| one.state = EndpointState::Draining);
  let mut dispatch = Dispatch::new(profile(true));
  let step = daemon.handle(&mut dispatch, DispatchEvent::Started);
  let DispatchStep::Refuse(AttemptOutcome::NotRun { retry_after_ms, .. }) = step else {
    panic!("{step:?}");
  };
  assert!(retry_after_ms > 0);
}

fn some_outcome(u: &mut Unstructured) -> Result<AttemptOutcome> {
  Ok(match u.int_in_range(0..=6)? {
    0 => AttemptOutcome::Answered { status: 200 },
    1 => AttemptOutcome::Answered { status: 500 },
    2 => unknown(),
    3 => AttemptOutcome::not_run("no connection", 0),
    4 => {
      let reason = "rejected".into();
      AttemptOutcome::NotRun { arrived: true, declined: false, reason, retry_after_ms: 10 }
    }
    _ => full(),
  })
}

/// The observed tries of one request in a history.
#[derive(Default)]
struct Seen {
  ended: Vec<(TryId, AttemptOutcome)>,
  running: Vec<TryId>,
  started: usize,
}

impl Seen {
  /// Counts the tries that reached a backend server or may have.
  fn arrived(&self) -> usize {
    self.ended.iter().filter(|(_, outcome)| outcome.arrived()).count()
  }

  /// Whether a try may have run the request.
  fn may_have_run(&self) -> bool {
    let is_run = |outcome: &AttemptOutcome| !matches!(outcome, AttemptOutcome::NotRun { .. });
    self.ended.iter().any(|(_, outcome)| is_run(outcome))
  }

  fn check_order(&mut self, order: &TryOrder, profile: &RequestProfile) {
    assert_eq!(order.endpoint.state, EndpointState::Live, "sent to one that accepts no requests");
    assert!(self.arrived() < profile.attempts_max as usize, "one backend server too many");
    assert!(profile.repeatable || !self.may_have_run(), "sent again though it may have run");
    let may_run_twice = profile.repeatable && profile.is_body_held;
    assert!(may_run_twice || self.running.is_empty(), "sent to two at once");
    self.running.push(order.id);
    self.started += 1;
    assert!(self.started <= 8, "{} tries", self.started);
  }

  fn check_answer(&self, id: TryId) {
    let (_, outcome) = self.ended.iter().find(|(own, _)| *own == id).expect("an ended try");
    assert!(matches!(outcome, AttemptOutcome::Answered { .. }), "{outcome:?} is no answer");
  }

  fn check_refusal(&self, outcome: &AttemptOutcome, profile: &RequestProfile) {
    assert!(self.running.is_empty(), "refused while a try was in flight");
    let says_not_run = matches!(outcome, AttemptOutcome::NotRun { .. });
    let is_true = profile.repeatable || !self.may_have_run();
    assert!(!says_not_run || is_true, "said not to have run though it may have");
  }
}

#[test]
fn every_request_ends_once_and_runs_twice_only_if_repeatable() {
  let (mut answers, mut refusals) = (0, 0);
  let (mut hedged, mut lost, mut overdue) = (0, 0, 0);
  histories(HISTORIES, |u| {
    let mut daemon = Daemon::new(u.int_in_range(0..=5)?);
    for endpoint in &mut daemon.endpoints {
      if u.int_in_range(0..=3)? == 0 {
        endpoint.state = EndpointState::Draining;
      }
      let condition = Some(Condition { load_percent: 10, ..Condition::default() });
      let completion = Completion::Served { condition, latency_us: Some(1) };
      daemon.balancer.completed(START, &endpoint.peer.box_id, completion);
    }
    let (attempts_max, is_body_held) = (u.int_in_range(1..=3)?, u.ratio(3, 4)?);
    let profile = RequestProfile { attempts_max, is_body_held, ..profile(u.arbitrary()?) };
    let mut dispatch = Dispatch::new(profile.clone());
    let mut seen = Seen::default();
    let mut step = daemon.handle(&mut dispatch, DispatchEvent::Started);
    loop {
      match step {
        DispatchStep::Answer { id } => {
          answers += 1;
          seen.check_answer(id);
          return Ok(());
        }
        DispatchStep::Refuse(outcome) => {
          refusals += 1;
          seen.check_refusal(&outcome, &profile);
          return Ok(());
        }
        DispatchStep::Try(order) => seen.check_order(&order, &profile),
        DispatchStep::CheckArrival { id } => {
          assert!(seen.running.contains(&id), "asks for a try that is over");
          let is_lost: bool = u.ratio(1, 4)?;
          let is_overdue: bool = u.ratio(1, 4)?;
          let body_resendable = u.ratio(9, 10)?;
          step = if is_lost {
            lost += 1;
            seen.running.retain(|own| *own != id);
            daemon.handle(&mut dispatch, DispatchEvent::NeverArrived { body_resendable, id })
          } else if is_overdue {
            overdue += 1;
            daemon.handle(&mut dispatch, DispatchEvent::Overdue { id })
          } else {
            daemon.handle(&mut dispatch, DispatchEvent::StillPending { id })
          };
          continue;
        }
        DispatchStep::Wait => assert!(!seen.running.is_empty(), "waits for nothing"),
      }
      hedged += usize::from(seen.running.len() > 1);
      daemon.now = daemon.now.after(u.int_in_range(0..=120)?);
      let is_due = dispatch.wake_at().is_some_and(|at| at <= daemon.now);
      let event = if is_due {
        DispatchEvent::Woken
      } else {
        let index = u.choose_index(seen.running.len())?;
        let id = seen.running.remove(index);
        let outcome = some_outcome(u)?;
        seen.ended.push((id, outcome.clone()));
        DispatchEvent::Ended { body_resendable: u.ratio(9, 10)?, id, outcome }
      };
      step = daemon.handle(&mut dispatch, event);
    }
  });
  assert!(answers > 300 && refusals > 300, "{answers} answers and {refusals} refusals");
  assert!(overdue > 100, "{overdue} answers were overdue");
  assert!(lost > 100, "{lost} tries never arrived");
  assert!(hedged > 0, "no second try ran beside a first");
}

/// Guards against credit for retries of calls that is lost with each box that declines the request,
/// or that is given twice.
#[test]
fn credit_for_calls_goes_with_one_try_at_a_time() {
  let name: ServiceName = "called".parse().expect("a name");
  let mut dispatch =
    Dispatch::new(profile(true)).with_calls(RetryWeight::default(), Some(vec![(name, 500)]));
  let mut daemon = Daemon::new(8);
  daemon.budget.set_limits(RetryLimits { earned: 1_000, saved_max: 1_000 });
  let first = daemon.start(&mut dispatch);
  assert_eq!(first.call_credit.to_string(), "called:500", "savings begin full");
  let second = ordered(daemon.end(&mut dispatch, first.id, full()));
  assert_eq!(second.call_credit, first.call_credit, "the first one did not run");
  let event = DispatchEvent::NeverArrived { body_resendable: true, id: second.id };
  let third = ordered(daemon.handle(&mut dispatch, event));
  assert_eq!(third.call_credit, first.call_credit, "the second one never arrived");
  let lost = AttemptOutcome::Unknown { reason: "lost".into() };
  let fourth = ordered(daemon.end(&mut dispatch, third.id, lost));
  assert!(fourth.call_credit.is_empty(), "the third one may have run: {}", fourth.call_credit);
}

/// Guards against a share of retries that is used by the daemons of three services.
#[test]
fn a_call_passes_no_credit_on_for_calls_of_its_own() {
  let name: ServiceName = "called".parse().expect("a name");
  let mut profile = profile(true);
  profile.urgency.is_call = true;
  let mut dispatch =
    Dispatch::new(profile).with_calls(RetryWeight::Call, Some(vec![(name.clone(), 500)]));
  let mut daemon = Daemon::new(8);
  daemon.budget.set_limits(RetryLimits { earned: 1_000, saved_max: 1_000 });
  let first = daemon.start(&mut dispatch);
  assert!(first.call_credit.is_empty(), "{}", first.call_credit);
  assert!(daemon.budget.spend(&name), "it saves for its own retries");
}
