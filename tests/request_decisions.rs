//! Tests traffic splits, the limiter, due times, the link budget and the retry budget.

use {
  ferryyoke::{
    configuration::{Handling, WeightedService},
    requests::{
      CallerClass, CallerTimeouts, Demand, Limiter, LimiterDecision, LinkBudget, RetryBudget,
      RetryLimits, RunningRequests, Splitter, Ticket, Urgency,
    },
    values::{RequestId, RouteName, ServiceName, Time},
  },
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
};

fn service(name: &str) -> ServiceName {
  name.parse().expect("a name")
}

fn id(text: &str) -> RequestId {
  text.parse().expect("an id")
}

#[test]
fn each_daemon_splits_any_run_of_requests_by_weight() {
  let shares = [("a", 90), ("b", 9), ("c", 1), ("never", 0)]
    .map(|(name, weight)| WeightedService { service: service(name), weight });
  for seed in 0..50 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut splitter = Splitter::default();
    let route = "route".parse().expect("a name");
    let dealt: Vec<ServiceName> =
      (0..500).map(|_| splitter.next(&route, &shares, &mut rng).expect("a service")).collect();
    for share in &shares {
      for stretch in dealt.windows(200) {
        let got = stretch.iter().filter(|one| **one == share.service).count();
        let due = f64::from(share.weight) / 100.0 * 200.0;
        #[allow(clippy::cast_precision_loss)]
        let off = (got as f64 - due).abs();
        assert!(off <= 2.0, "{} got {got} of {due}", share.service);
      }
    }
  }
}

/// Holds even if each daemon handles only a few requests of a route.
#[test]
fn many_daemons_together_split_their_first_requests_by_weight() {
  let shares =
    [("a", 70), ("b", 30)].map(|(name, weight)| WeightedService { service: service(name), weight });
  for requests in 1..=4 {
    let mut rng = ChaCha8Rng::seed_from_u64(requests);
    let route = "route".parse().expect("a name");
    let mut of_b = 0;
    for _ in 0..400 {
      let mut splitter = Splitter::default();
      let dealt = (0..requests).filter_map(|_| splitter.next(&route, &shares, &mut rng));
      of_b += dealt.filter(|one| *one == service("b")).count();
    }
    #[allow(clippy::cast_precision_loss)]
    let share = of_b as f64 / (400 * requests) as f64;
    assert!((0.24..0.36).contains(&share), "{share} of {requests} requests a daemon");
  }
}

#[test]
fn a_route_without_weights_gets_no_service() {
  let mut rng = ChaCha8Rng::seed_from_u64(1);
  let route = "route".parse().expect("a name");
  assert_eq!(Splitter::default().next(&route, &[], &mut rng), None);
}

fn demand(priority: u32, due: u64) -> Demand {
  let class: CallerClass = "class".parse().expect("a name");
  Demand { priority, due: Time(due), ..Demand::new(class, Time(10_000)) }
}

#[test]
fn the_limiter_admits_by_rank_and_then_the_newest_request_that_can_be_in_time() {
  let mut limiter = Limiter::new(1, 10);
  limiter.arrive(Time(0), Ticket(0), demand(2, 10));
  limiter.arrive(Time(0), Ticket(1), demand(2, 900));
  limiter.arrive(Time(1), Ticket(2), demand(2, 800));
  limiter.arrive(Time(2), Ticket(3), demand(1, 900));
  limiter.arrive(Time(3), Ticket(4), demand(1, 800));
  // The newest of all is overdue.
  limiter.arrive(Time(4), Ticket(5), demand(1, 4));
  assert_eq!(limiter.leave(Time(5), Ticket(0)), [Ticket(4)]);
  assert_eq!(limiter.leave(Time(6), Ticket(4)), [Ticket(3)]);
  assert_eq!(limiter.leave(Time(7), Ticket(3)), [Ticket(5)]);
  assert_eq!(limiter.leave(Time(8), Ticket(5)), [Ticket(2)]);
  assert_eq!(limiter.leave(Time(9), Ticket(2)), [Ticket(1)]);
}

#[test]
fn a_request_is_shed_if_it_would_exceed_its_max_wait() {
  let mut limiter = Limiter::new(1, 10);
  limiter.arrive(Time(0), Ticket(0), demand(1, 10));
  limiter.leave(Time(100), Ticket(0));
  limiter.arrive(Time(100), Ticket(1), demand(1, 10));
  let impatient = Demand { wait_until: Time(105), ..demand(1, 500) };
  let arrival = limiter.arrive(Time(100), Ticket(2), impatient);
  assert!(
    matches!(arrival, LimiterDecision::Shed { retry_after_ms } if retry_after_ms > 5),
    "{arrival:?}"
  );
}

/// Later requests of a higher rank overtake those of a lower rank, which then wait longer than the
/// queue ahead of them suggests.
#[test]
fn expected_waits_follow_recent_waits() {
  let mut limiter = Limiter::new(1, 10);
  limiter.arrive(Time(0), Ticket(0), demand(0, 10));
  limiter.leave(Time(100), Ticket(0));
  let mut refused = 0;
  for round in 0..10 {
    let (start, first) = (Time(1_000 * (round + 1)), 10 * (round + 1));
    limiter.arrive(start, Ticket(first), demand(0, 10));
    let patient = Demand { wait_until: start.after(100), ..demand(1, 500) };
    let arrival = limiter.arrive(start, Ticket(first + 1), patient);
    refused += u32::from(matches!(arrival, LimiterDecision::Shed { .. }));
    // One of the highest rank comes behind it each time and takes the slot.
    limiter.arrive(start, Ticket(first + 2), demand(0, 10));
    limiter.leave(start.after(50), Ticket(first));
    limiter.leave(start.after(100), Ticket(first + 1));
    limiter.leave(start.after(150), Ticket(first + 2));
  }
  assert!((5..10).contains(&refused), "{refused} of ten were refused at once");
}

#[test]
fn added_slots_admit_queued_requests() {
  let mut limiter = Limiter::new(1, 10);
  limiter.arrive(Time(0), Ticket(0), demand(1, 10));
  limiter.arrive(Time(0), Ticket(1), demand(1, 10));
  assert_eq!(limiter.set_slots(Time(1), 2), [Ticket(1)]);
  assert_eq!(limiter.set_slots(Time(2), 0), [], "one slot stays");
}

#[test]
fn calls_of_running_requests_may_wait_longer_than_requests_of_callers() {
  let handling =
    Handling { priority: 2, target_ms: Some(400), timeout_ms: Some(1_200), ..Handling::default() };
  let own = Urgency::of(Time(1_000), Time(2_200), &handling, handling.priority, false, 0);
  assert_eq!((own.due, own.wait_until, own.priority), (Time(1_400), Time(1_400), 2));
  let call = Urgency::of(Time(1_000), Time(1_400), &handling, handling.priority, true, 0);
  assert!(call.wait_until >= Time(1_250) && call.wait_until < Time(1_400), "{call:?}");
  assert_eq!(call.priority, 0);
  let short = Urgency::of(Time(1_000), Time(1_010), &handling, handling.priority, false, 0);
  assert!(short.wait_until <= Time(1_010) && short.due <= Time(1_010), "{short:?}");
}

/// Runs take 200 ms; a request with less than half of that left counts as late.
#[test]
fn a_request_queues_only_while_its_answer_can_be_in_time() {
  let mut limiter = Limiter::new(1, 10);
  let mut now = Time(0);
  for round in 0..60 {
    limiter.arrive(now, Ticket(round), demand(1, 0));
    now = now.after(200);
    limiter.leave(now, Ticket(round));
  }
  limiter.arrive(now, Ticket(100), demand(1, 0));
  let waits = Demand { wait_until: now.after(500), ..demand(1, now.after(500).0) };
  let arrival = limiter.arrive(now, Ticket(101), waits);
  assert!(
    matches!(arrival, LimiterDecision::Queued { max_wait_ms } if (395..=405).contains(&max_wait_ms)),
    "{arrival:?}"
  );
  let hurried = Demand { wait_until: now.after(90), ..demand(0, now.after(90).0) };
  let arrival = limiter.arrive(now, Ticket(102), hurried);
  assert!(matches!(arrival, LimiterDecision::Shed { .. }), "{arrival:?}");
}

/// The due time counts from the caller's first try, including the `Retry-After` waits in between.
#[test]
fn the_due_time_of_a_retry_counts_from_the_first_try() {
  let handling =
    Handling { priority: 2, target_ms: Some(400), timeout_ms: Some(1_200), ..Handling::default() };
  let early = Urgency::of(Time(1_000), Time(2_000), &handling, handling.priority, false, 100);
  assert_eq!(early.due, Time(1_300));
  assert_eq!(early.wait_until, early.due);
  let overdue = Urgency::of(Time(1_000), Time(1_700), &handling, handling.priority, false, 500);
  assert_eq!((overdue.due, overdue.wait_until), (Time(1_000), Time(1_000)));
}

#[test]
fn a_retry_of_a_caller_is_recognised_by_its_remaining_time() {
  let route: RouteName = "route".parse().expect("a name");
  let mut times = CallerTimeouts::default();
  let mut wrong = 0;
  for round in 0..2_000 {
    assert_eq!(times.note(&route, 1_200), 0, "a first try in round {round}");
    // Two retries follow each first try, with varying remaining times.
    for _ in 0..2 {
      let spent_ms = 20 + (round * 7) % 900;
      wrong += u32::from(times.note(&route, 1_200 - spent_ms) != spent_ms && round > 20);
    }
  }
  assert!(wrong < 40, "{wrong} were taken for first tries");
}

#[test]
fn first_tries_with_two_usual_timeouts_are_recognised() {
  let route: RouteName = "route".parse().expect("a name");
  let mut times = CallerTimeouts::default();
  for _ in 0..50 {
    times.note(&route, 1_200);
    times.note(&route, 600);
  }
  assert_eq!((times.note(&route, 1_200), times.note(&route, 600)), (0, 0));
  assert_eq!(times.note(&route, 900), 300);
}

#[test]
fn a_change_of_the_usual_timeout_is_recognised() {
  let route: RouteName = "route".parse().expect("a name");
  let mut times = CallerTimeouts::default();
  for _ in 0..1_000 {
    times.note(&route, 1_200);
  }
  for _ in 0..1_000 {
    times.note(&route, 500);
  }
  assert_eq!((times.note(&route, 500), times.note(&route, 400)), (0, 100));
}

#[test]
fn calls_are_recognised_by_the_id_of_the_running_request() {
  let mut at_work = RunningRequests::default();
  at_work.begin(&id("5cbe2b43"));
  at_work.begin(&id("5cbe2b43"));
  assert!(at_work.is_call(&id("5cbe2b43.77")));
  assert!(!at_work.is_call(&id("5cbe2b43")), "the request itself is no call");
  assert!(!at_work.is_call(&id("5cbe2b4399.77")));
  at_work.end(&id("5cbe2b43"));
  assert!(at_work.is_call(&id("5cbe2b43.77")), "it runs a second time");
  at_work.end(&id("5cbe2b43"));
  assert!(!at_work.is_call(&id("5cbe2b43.77")));
}

#[test]
fn a_failed_call_is_recorded_for_its_running_request() {
  let mut at_work = RunningRequests::default();
  at_work.begin(&id("5cbe2b43"));
  assert!(!at_work.has_failed_call(&id("5cbe2b43")));
  at_work.record_failed_call(&id("5cbe2b44.1"));
  assert!(!at_work.has_failed_call(&id("5cbe2b43")), "the call of another request");
  at_work.record_failed_call(&id("5cbe2b43.1"));
  assert!(at_work.has_failed_call(&id("5cbe2b43")));
  at_work.end(&id("5cbe2b43"));
  at_work.begin(&id("5cbe2b43"));
  assert!(!at_work.has_failed_call(&id("5cbe2b43")), "a run starts anew");
}

#[test]
fn large_bodies_fill_only_a_fraction_of_the_link() {
  let mut link = LinkBudget::new(10.0);
  let mut taken = 0;
  for now in 0..10_000 {
    taken += u64::from(link.take(Time(now), Some(60_000), 100, 0.0).is_ok()) * 60_000;
  }
  let most = 10_000_000 / 8 * 10;
  assert!(taken < most * 85 / 100, "{taken} bytes of {most} in ten seconds");
  assert!(taken > most * 70 / 100, "{taken} bytes of {most} in ten seconds");
  assert!(link.take(Time(10_000), Some(100), 0, 0.0).is_ok(), "small bodies always pass");
  assert!(link.load_percent(Time(10_000)) > 0);
  assert_eq!(link.load_percent(Time(20_000)), 0);
}

#[test]
fn a_body_of_unknown_size_counts_as_one_of_typical_size() {
  let mut link = LinkBudget::new(10.0);
  let first = (0..100).take_while(|_| link.take(Time(0), None, 100, 0.0).is_ok()).count();
  assert!((2..=4).contains(&first), "{first} bodies at once");
  let refused = link.take(Time(0), None, 100, 0.0).expect_err("the link is taken");
  assert!(link.take(Time(refused), None, 100, 0.0).is_ok(), "accepted after the returned time");
}

/// Holds for any number of daemons.
#[test]
fn retries_of_all_daemons_stay_within_the_bound_of_the_fleet() {
  for daemons in [1, 5, 13, 74, 300] {
    let (ratio, extra, requests) = (0.2, 62_u64, 2_000_u64);
    let limits = RetryLimits::share(ratio, extra, daemons);
    let name = service("a");
    let mut spent = 0;
    for _ in 0..daemons {
      let mut budget = RetryBudget::default();
      budget.set_limits(limits);
      for _ in 0..requests / daemons as u64 {
        budget.earn(&name);
        while budget.spend(&name) {
          spent += 1;
        }
      }
    }
    // Each daemon may always spend one retry, as it could never retry otherwise.
    let bound = requests / 5 + extra.max(daemons as u64);
    assert!(spent <= bound, "{spent} retries of {daemons} daemons, and {bound} may be");
  }
}
