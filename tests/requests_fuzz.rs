//! Fuzz tests of routing, balancing, the limiter and the retry budget against simple models.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    configuration::{Configuration, Handling, Revised, Route},
    fleet::{Endpoint, EndpointState, Peer},
    requests::{
      Balancer, Completion, Condition, Demand, Limiter, LimiterDecision, RetryBudget, Router,
      SelectionCriteria, SlotLoad, Slowdown, Ticket, Verdict,
    },
    values::{Incarnation, Time, Version},
  },
  http::{HeaderMap, Method},
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  std::collections::{BTreeMap, BTreeSet},
  support::histories,
};

/// Number of random histories in each fuzz test.
const HISTORIES: u64 = 1_000;

const PATHS: [&str; 8] = ["/", "/a", "/a/b", "/a/bc", "/ab", "/a/b/c", "/b", "/ab/"];
const HOSTS: [&str; 2] = ["one.example", "two.example"];

fn route(u: &mut Unstructured) -> Result<Route> {
  let header = [("x-team".to_string(), "clerks".to_string())];
  Ok(Route {
    handling: Handling::default(),
    headers: if u.ratio(1, 4)? { header.into() } else { BTreeMap::new() },
    host: if u.arbitrary()? { Some((*u.choose(&HOSTS)?).to_string()) } else { None },
    method: if u.ratio(1, 3)? { Some("POST".into()) } else { None },
    owner: "team".parse().expect("a name"),
    path_prefix: (*u.choose(&PATHS)?).to_string(),
    repeatable: true,
    service: "service".parse().expect("a name"),
  })
}

/// Finds the expected route by a scan of all routes.
fn model<'a>(
  routes: &'a BTreeMap<String, Route>,
  method: &Method,
  host: &str,
  path: &str,
  headers: &HeaderMap,
) -> Option<&'a Route> {
  let takes = |route: &&Route| {
    let on_border = path == route.path_prefix
      || path.starts_with(&format!("{}/", route.path_prefix.trim_end_matches('/')));
    let exact_end = !route.path_prefix.ends_with('/') || path.starts_with(&route.path_prefix);
    on_border
      && exact_end
      && route.method.as_ref().is_none_or(|wanted| wanted == method.as_str())
      && route.host.as_ref().is_none_or(|wanted| wanted == host)
      && (route.headers.is_empty() || headers.contains_key("x-team"))
  };
  routes.values().filter(takes).max_by_key(|route| route.specificity())
}

#[test]
fn the_most_specific_route_is_found() {
  let mut found = 0;
  histories(HISTORIES, |u| {
    let mut routes = BTreeMap::new();
    let mut configuration = Configuration::default();
    for index in 0..u.int_in_range(0..=8)? {
      let one = route(u)?;
      let name = format!("route-{index}");
      let revised = Revised { revision: Version(1), value: one.clone() };
      configuration.routes.insert(name.parse().expect("a name"), revised);
      routes.insert(name, one);
    }
    let router = Router::new(&configuration);
    for path in PATHS {
      let host = *u.choose(&HOSTS)?;
      let method = if u.arbitrary()? { Method::GET } else { Method::POST };
      let mut headers = HeaderMap::new();
      if u.arbitrary()? {
        headers.insert("x-team", "clerks".parse().expect("a value"));
      }
      let expected = model(&routes, &method, host, path, &headers);
      let got = router.find(&method, Some(host), path, &headers);
      let got = got.map(|matched| &routes[matched.route.as_str()]);
      let specificity = |route: Option<&Route>| route.map(Route::specificity);
      assert_eq!(specificity(got), specificity(expected), "{method} {host} {path}: {routes:?}");
      found += usize::from(got.is_some());
    }
    Ok(())
  });
  assert!(found > 1_000, "only {found} requests were routed");
}

#[test]
fn slots_are_never_exceeded_nor_leaked() {
  let mut queued = 0;
  histories(HISTORIES, |u| {
    let slots = u.int_in_range(1..=4)?;
    let queue_max = u.int_in_range(0..=6)?;
    let mut limiter = Limiter::new(slots, queue_max);
    let mut running = BTreeSet::new();
    let mut waiting = BTreeSet::new();
    let mut now = 0;
    for index in 0..60 {
      now += u.int_in_range(0..=30)?;
      let class = format!("class-{}", u.int_in_range(0..=2)?).parse().expect("a name");
      if u.arbitrary()? {
        let deadline = Time(now + u.int_in_range(0..=200)?);
        match limiter.arrive(Time(now), Ticket(index), Demand::new(class, deadline)) {
          LimiterDecision::Admitted => assert!(running.insert(Ticket(index))),
          LimiterDecision::Queued { .. } => {
            queued += 1;
            waiting.insert(Ticket(index));
          }
          LimiterDecision::Shed { retry_after_ms } => assert!(retry_after_ms > 0),
        }
      } else {
        let all: Vec<Ticket> = running.iter().chain(waiting.iter()).copied().collect();
        if let Some(ticket) = (!all.is_empty()).then(|| u.choose(&all)).transpose()? {
          running.remove(ticket);
          waiting.remove(ticket);
          for admitted in limiter.leave(Time(now), *ticket) {
            assert!(waiting.remove(&admitted), "{admitted} did not wait");
            assert!(running.insert(admitted));
          }
        }
      }
      assert!(running.len() <= slots, "{} run in {slots} slots", running.len());
      assert!(waiting.len() <= queue_max);
      assert_eq!((limiter.running(), limiter.waiting()), (running.len(), waiting.len()));
      assert!(
        waiting.is_empty() || running.len() == slots,
        "a request is queued although a slot is free"
      );
    }
    Ok(())
  });
  assert!(queued > 1_000, "only {queued} requests waited");
}

/// A class with many queued requests doesn't starve the others.
#[test]
fn classes_share_slots_fairly() {
  let mut limiter = Limiter::new(2, 100);
  let class = |name: &str| name.parse().expect("a name");
  for index in 0..20 {
    limiter.arrive(Time(0), Ticket(index), Demand::new(class("flood"), Time(10_000)));
  }
  let arrival = limiter.arrive(Time(1), Ticket(100), Demand::new(class("clerk"), Time(10_000)));
  assert_eq!(arrival, LimiterDecision::Queued { max_wait_ms: 9_999 });
  assert_eq!(limiter.leave(Time(2), Ticket(0)), [Ticket(100)]);
}

#[test]
fn the_newest_request_of_a_class_goes_first_and_overdue_ones_last() {
  let mut limiter = Limiter::new(1, 10);
  let class = || "class".parse().expect("a name");
  let overdue = |at: u64| Demand { due: Time(at), ..Demand::new(class(), Time(1_000)) };
  limiter.arrive(Time(0), Ticket(0), Demand::new(class(), Time(1_000)));
  limiter.arrive(Time(0), Ticket(1), Demand::new(class(), Time(900)));
  limiter.arrive(Time(1), Ticket(2), Demand::new(class(), Time(1_000)));
  limiter.arrive(Time(2), Ticket(3), overdue(2));
  assert_eq!(limiter.leave(Time(10), Ticket(0)), [Ticket(2)]);
  assert_eq!(limiter.leave(Time(11), Ticket(2)), [Ticket(1)]);
  assert_eq!(limiter.leave(Time(12), Ticket(1)), [Ticket(3)]);
}

fn endpoint(index: usize, data_hall: usize) -> Endpoint {
  let port = 1 + u16::try_from(index).expect("few boxes");
  Endpoint {
    backend_starts: 0,
    findings: Vec::new(),
    link_mbps: 0,
    forward_address: ([127, 0, 0, 1], port).into(),
    incarnation: Incarnation(1),
    peer: Peer {
      address: ([127, 0, 0, 1], port).into(),
      box_id: format!("box-{index}").parse().expect("a name"),
      data_hall: format!("hall-{data_hall}").parse().expect("a name"),
    },
    region: "region".parse().expect("a name"),
    relay: None,
    sequence: 1,
    service: "service".parse().expect("a name"),
    slots: 12,
    software: None,
    state: EndpointState::Live,
  }
}

fn some_slot_load(u: &mut Unstructured) -> Result<SlotLoad> {
  Ok(match u.int_in_range(0..=2)? {
    0 => SlotLoad::Cold,
    1 => SlotLoad::Percent(u.int_in_range(0..=500)?),
    _ => SlotLoad::Untold,
  })
}

fn some_condition(u: &mut Unstructured) -> Result<Option<Condition>> {
  let condition = Condition {
    failures_permille: u.int_in_range(0..=1_000)?,
    link_wait_ms: u.int_in_range(0..=500)?,
    load_percent: u.int_in_range(0..=500)?,
    service_us: u.int_in_range(0..=90_000)?,
    slot_load: some_slot_load(u)?,
    slowdown: u.arbitrary::<Option<u16>>()?.map(|one| Slowdown::from_percent(one.into())),
  };
  Ok(u.arbitrary::<bool>()?.then_some(condition))
}

#[test]
fn only_usable_backend_servers_are_chosen_and_counts_come_back_to_zero() {
  histories(HISTORIES, |u| {
    let count = u.int_in_range(1..=6)?;
    let endpoints: Vec<Endpoint> = (0..count).map(|index| endpoint(index, index % 2)).collect();
    let candidates: Vec<&Endpoint> = endpoints.iter().collect();
    let mut balancer = Balancer::default();
    let mut rng = ChaCha8Rng::seed_from_u64(u.arbitrary()?);
    let own = "hall-0".parse().expect("a name");
    let mut under_way = Vec::new();
    let mut now = 0;
    for _ in 0..60 {
      now += u.int_in_range(0..=400)?;
      let gone: BTreeSet<usize> = (0..count).filter(|_| u.ratio(1, 5).unwrap_or(false)).collect();
      let unusable = |one: &Endpoint| {
        let index = endpoints.iter().position(|known| known == one).expect("a candidate");
        gone.contains(&index).then_some(Verdict::Gone)
      };
      let criteria = SelectionCriteria {
        answer_bytes: 0,
        body_bytes: u.int_in_range(0..=400_000)?,
        due_ms: u.int_in_range(0..=1_000)?,
        near_box: None,
        repeatable: u.arbitrary()?,
      };
      let choice = balancer.choose(Time(now), &candidates, &own, &criteria, unusable, &mut rng);
      assert_eq!(choice.verdicts.len(), count, "every candidate has its verdict");
      assert_eq!(choice.chosen.is_none(), gone.len() == count, "one is chosen where one is usable");
      if let Some(chosen) = choice.chosen {
        let index = endpoints.iter().position(|known| *known == chosen).expect("a candidate");
        assert!(!gone.contains(&index), "a gone backend server was chosen");
        balancer.started(&chosen.peer.box_id);
        under_way.push(chosen.peer.box_id);
      }
      while !under_way.is_empty() && u.arbitrary()? {
        let box_id = under_way.swap_remove(u.choose_index(under_way.len())?);
        let completion = match u.int_in_range(0..=2)? {
          0 => Completion::Failed,
          1 => Completion::Shed { condition: some_condition(u)? },
          _ => Completion::Served {
            condition: some_condition(u)?,
            latency_us: Some(u.int_in_range(100..=90_000)?),
          },
        };
        balancer.completed(Time(now), &box_id, completion);
        balancer.ended(&box_id);
      }
    }
    for box_id in under_way.drain(..) {
      balancer.ended(&box_id);
    }
    for one in &endpoints {
      assert_eq!(balancer.in_flight(&one.peer.box_id), 0);
    }
    Ok(())
  });
}

/// Holds even if every request fails: retries stay within a tenth of the requests plus the savings.
#[test]
fn retries_stay_within_their_budget() {
  let mut budget = RetryBudget::default();
  let service = "service".parse().expect("a name");
  let mut retries = 0;
  for _ in 0..10_000 {
    budget.earn(&service);
    retries += u32::from(budget.spend(&service));
  }
  assert!((1_000..1_010).contains(&retries), "{retries} retries of 10000 requests");
}
