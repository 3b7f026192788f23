//! Tests that the requests to a backend server keep to the rate limit that it names.

use ferryyoke::{
  requests::{Demand, Limiter, LimiterDecision, Pacer, Ticket},
  values::{Rate, Time},
};

fn rate(requests: f64) -> Rate {
  Rate::per_s(requests).expect("a rate")
}

/// Offers a request every `every_ms` for `for_ms`. Returns when each passed.
fn offer(pacer: &mut Pacer, every_ms: usize, for_ms: u64) -> Vec<Time> {
  let mut passed = Vec::new();
  for now in (0..for_ms).step_by(every_ms).map(Time) {
    if pacer.wait_ms(now, 0) == 0 {
      pacer.pass(now);
      passed.push(now);
    }
  }
  passed
}

/// Most requests within any 4 s.
fn most_in_4_s(passed: &[Time]) -> usize {
  let in_window = |(index, first): (usize, &Time)| {
    passed[index..].iter().take_while(|at| at.since_ms(*first) < 4_000).count()
  };
  passed.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Guards against rates that are rounded to whole requests a second, which leaves up to half of a small limit unused.
#[test]
#[allow(clippy::cast_precision_loss)]
fn any_rate_is_kept_and_used() {
  for per_s in [0.4, 1.0, 1.9, 8.5, 22.3, 300.0] {
    let mut pacer = Pacer::new(Time(0), rate(per_s));
    let passed = offer(&mut pacer, 1, 100_000).len() as f64;
    let expected = per_s * 100.0;
    assert!((passed - expected).abs() <= 2.0 + expected / 100.0, "{passed} of {expected}");
    let most = most_in_4_s(&offer(&mut Pacer::new(Time(0), rate(per_s)), 1, 100_000)) as f64;
    assert!(most <= 4.25 * per_s + 1.0, "{most} in 4 s at {per_s} a second");
  }
}

#[test]
fn a_backend_server_that_takes_nothing_still_gets_a_request_now_and_then() {
  let mut pacer = Pacer::new(Time(0), rate(0.0));
  let passed = offer(&mut pacer, 10, 60_000);
  assert!((14..=16).contains(&passed.len()), "{passed:?}");
  assert!(most_in_4_s(&passed) <= 2, "{passed:?}");
}

#[test]
fn a_new_limit_allows_no_burst() {
  let mut pacer = Pacer::new(Time(0), rate(20.0));
  let passed = offer(&mut pacer, 1, 1_000);
  assert!(passed.len() <= 21, "{} in the first second", passed.len());
}

/// Guards against a change of the limit that forgets the requests that have just passed.
#[test]
fn a_changed_limit_counts_the_requests_that_passed() {
  let mut pacer = Pacer::new(Time(0), rate(100.0));
  offer(&mut pacer, 1, 1_000);
  pacer.set_rate(Time(1_000), rate(2.0));
  assert!(pacer.wait_ms(Time(1_000), 0) > 5_000, "25 requests at 2 a second");
  pacer.set_rate(Time(1_000), rate(100.0));
  assert!(pacer.wait_ms(Time(1_000), 0) <= 10);
}

fn demand(priority: u32, deadline_ms: u64) -> Demand {
  let class = "any".parse().expect("a class");
  Demand { priority, ..Demand::new(class, Time(deadline_ms)) }
}

/// Guards against a limit that lets the requests through in the order in which they come: the urgent ones wait for less
/// than the others, and none runs twice or is forgotten.
#[test]
fn urgent_requests_pass_first_at_a_backend_server_that_named_a_limit() {
  let mut limiter = Limiter::new(10, 100);
  limiter.set_rate(Time(0), Some(rate(10.0)));
  let (mut urgent, mut others, mut next) = (0, 0, 0);
  let mut is_urgent = std::collections::BTreeMap::new();
  for now in (0..10_000).step_by(10).map(Time) {
    let mut started = limiter.admit(now);
    next += 1;
    let (ticket, priority) = (Ticket(next), u32::from(next % 20 != 0));
    is_urgent.insert(ticket, priority == 0);
    if limiter.arrive(now, ticket, demand(priority, now.0 + 500)) == LimiterDecision::Admitted {
      started.push(ticket);
    }
    for ticket in started {
      if is_urgent[&ticket] {
        urgent += 1;
      } else {
        others += 1;
      }
      assert!(limiter.leave(now, ticket).is_empty(), "the rate is reached");
    }
  }
  assert!((99..=104).contains(&(urgent + others)), "{urgent} and {others}");
  assert!(urgent >= 47, "{urgent} of 50 urgent ones ran");
}

/// Guards against a request that keeps its place in the queue for good as only a slot's end gives slots.
#[test]
fn a_queued_request_runs_when_the_rate_allows_it() {
  let mut limiter = Limiter::new(10, 100);
  limiter.set_rate(Time(0), Some(rate(1.0)));
  let arrive =
    |limiter: &mut Limiter, at, number| limiter.arrive(Time(at), Ticket(number), demand(0, 5_000));
  assert_eq!(arrive(&mut limiter, 0, 1), LimiterDecision::Admitted);
  assert!(matches!(arrive(&mut limiter, 1, 2), LimiterDecision::Queued { .. }));
  let wake_at = limiter.wake_at(Time(1)).expect("it waits for the rate");
  assert!(limiter.admit(Time(wake_at.0 - 1)).is_empty());
  assert_eq!(limiter.admit(wake_at), [Ticket(2)]);
  assert_eq!(limiter.wake_at(wake_at), None);
}

#[test]
fn a_request_that_cannot_run_in_time_is_refused_at_once_with_a_time_to_come_back() {
  let mut limiter = Limiter::new(10, 100);
  limiter.set_rate(Time(0), Some(rate(1.0)));
  for number in 0..3 {
    limiter.arrive(Time(0), Ticket(number), demand(0, 60_000));
  }
  let refused = limiter.arrive(Time(0), Ticket(9), demand(0, 1_000));
  let in_time = matches!(refused, LimiterDecision::Shed { retry_after_ms: 2_000..=4_000 });
  assert!(in_time, "{refused:?}");
}

/// Guards against a limited backend server that looks idle to other daemons, as most of its slots are free.
#[test]
fn a_backend_server_at_its_limit_reports_that_it_is_full() {
  let mut limiter = Limiter::new(100, 100);
  limiter.set_rate(Time(0), Some(rate(10.0)));
  assert_eq!(limiter.load_percent(Time(5_000)), 0);
  for number in 0..4 {
    limiter.arrive(Time(5_000), Ticket(number), demand(0, 9_000));
  }
  assert!(limiter.load_percent(Time(5_000)) >= 100);
  assert_eq!(limiter.set_rate(Time(5_000), None), [Ticket(3)]);
  assert_eq!(limiter.load_percent(Time(5_000)), 4);
}
