//! Tests that a cold backend server gets no more requests in any second than its warm-up rate.

use ferryyoke::{
  requests::ColdStartLimiter,
  values::{Rate, Time},
};

fn rate(requests: f64) -> Rate {
  Rate::per_s(requests).expect("a rate")
}

/// Sends a request every `every_ms` for `for_ms`. Returns when each passed to the backend server.
fn offer(gate: &mut ColdStartLimiter, every_ms: u64, for_ms: u64, rate: Rate) -> Vec<Time> {
  let mut passed = Vec::new();
  for now in (0..for_ms).step_by(usize::try_from(every_ms).expect("small")).map(Time) {
    if gate.wait_ms(now, rate) == 0 {
      gate.record_passed(now);
      passed.push(now);
    }
  }
  passed
}

/// A whole data hall restarts, and all callers send to its idle backend servers at once.
#[test]
fn a_burst_at_a_cold_backend_server_passes_at_its_rate() {
  let mut gate = ColdStartLimiter::default();
  let passed = offer(&mut gate, 2, 5_000, rate(13.0));
  assert_eq!(passed.len(), 5 * 13);
  for window in passed.windows(14) {
    assert!(window[13].since_ms(window[0]) >= 1_000, "14 requests within a second: {window:?}");
  }
}

#[test]
fn requests_passed_before_it_turned_cold_are_counted() {
  let mut gate = ColdStartLimiter::default();
  (0..40).for_each(|index| gate.record_passed(Time(index * 10)));
  assert_eq!(gate.load_percent(Time(400), rate(10.0)), 400);
  let wait_ms = gate.wait_ms(Time(400), rate(10.0));
  assert_eq!(wait_ms, 900, "the thirty-first leaves the window at 1300 ms");
  assert_eq!(gate.wait_ms(Time(1_300), rate(10.0)), 0);
}

#[test]
fn a_rate_below_one_per_second_lets_one_request_pass() {
  let mut gate = ColdStartLimiter::default();
  assert_eq!(gate.wait_ms(Time(0), rate(0.2)), 0);
  gate.record_passed(Time(0));
  assert_eq!(gate.wait_ms(Time(1), rate(0.2)), 999);
}
