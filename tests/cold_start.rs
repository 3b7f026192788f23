//! What a cold backend server gets: no more in any second than it can take, whoever sends.

use ferryyoke::{
  requests::ColdGate,
  values::{Rate, Time},
};

fn rate(requests: f64) -> Rate {
  Rate::per_s(requests).expect("a rate")
}

/// Offers a request each `every_ms` for `for_ms`; returns when each went to the backend server.
fn offer(gate: &mut ColdGate, every_ms: u64, for_ms: u64, rate: Rate) -> Vec<Time> {
  let mut passed = Vec::new();
  for now in (0..for_ms).step_by(usize::try_from(every_ms).expect("small")).map(Time) {
    if gate.wait_ms(now, rate) == 0 {
      gate.pass(now);
      passed.push(now);
    }
  }
  passed
}

/// The pattern of a data hall that comes back as a whole: all callers find the new backend servers empty.
#[test]
fn a_crowd_that_finds_a_cold_backend_server_passes_at_its_rate() {
  let mut gate = ColdGate::default();
  let passed = offer(&mut gate, 2, 5_000, rate(13.0));
  assert_eq!(passed.len(), 5 * 13);
  for window in passed.windows(14) {
    assert!(window[13].since_ms(window[0]) >= 1_000, "14 within a second: {window:?}");
  }
}

#[test]
fn what_went_there_before_it_turned_cold_counts() {
  let mut gate = ColdGate::default();
  (0..40).for_each(|index| gate.pass(Time(index * 10)));
  assert_eq!(gate.load_percent(Time(400), rate(10.0)), 400);
  let wait_ms = gate.wait_ms(Time(400), rate(10.0));
  assert_eq!(wait_ms, 900, "the thirty-first leaves the window at 1300 ms");
  assert_eq!(gate.wait_ms(Time(1_300), rate(10.0)), 0);
}

#[test]
fn a_rate_below_one_a_second_lets_one_pass() {
  let mut gate = ColdGate::default();
  assert_eq!(gate.wait_ms(Time(0), rate(0.2)), 0);
  gate.pass(Time(0));
  assert_eq!(gate.wait_ms(Time(1), rate(0.2)), 999);
}
