//! Tests the adaptive timeouts of the store's client, which follow the latency of recent answers.

use ferryyoke::{
  store::{AdaptiveTimeout, CallKind},
  values::Time,
};

const MIN_MS: u64 = 1_000;

/// Makes calls until one is answered within its timeout. Returns the timeout of each call.
fn call_until_answered(
  timeout: &mut AdaptiveTimeout,
  now: &mut Time,
  took_ms: Option<u64>,
) -> Vec<u64> {
  let mut limits = Vec::new();
  for _ in 0..10 {
    let timeout_ms = timeout.timeout_ms(*now, CallKind::Read);
    limits.push(timeout_ms);
    match took_ms {
      Some(took_ms) if took_ms <= timeout_ms => {
        *now = now.after(took_ms);
        timeout.answered(*now, CallKind::Read, took_ms);
        return limits;
      }
      Some(took_ms) => {
        timeout.timed_out(now.after(timeout_ms), CallKind::Read, timeout_ms);
        *now = now.after(took_ms);
        timeout.answered(*now, CallKind::Read, took_ms);
      }
      None => {
        *now = now.after(timeout_ms);
        timeout.timed_out(*now, CallKind::Read, timeout_ms);
      }
    }
  }
  limits
}

#[test]
fn a_fast_store_gets_the_minimum_timeout() {
  let (mut timeout, mut now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  for _ in 0..20 {
    assert_eq!(call_until_answered(&mut timeout, &mut now, Some(5)), [MIN_MS]);
  }
}

#[test]
fn the_timeout_rises_for_a_store_that_takes_three_seconds() {
  let (mut timeout, mut now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  assert_eq!(call_until_answered(&mut timeout, &mut now, Some(3_000)).len(), 2);
  for _ in 0..5 {
    assert_eq!(call_until_answered(&mut timeout, &mut now, Some(3_000)).len(), 1);
  }
}

#[test]
fn the_timeout_falls_within_a_few_fast_answers() {
  let (mut timeout, mut now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  call_until_answered(&mut timeout, &mut now, Some(3_000));
  for _ in 0..3 {
    call_until_answered(&mut timeout, &mut now, Some(5));
  }
  assert_eq!(timeout.timeout_ms(now, CallKind::Read), MIN_MS);
}

/// A box's entry must be restored within two seconds after an outage ends, so the timeout must not
/// grow.
#[test]
fn timeouts_do_not_grow_while_the_store_is_silent() {
  let (mut timeout, mut now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  assert_eq!(call_until_answered(&mut timeout, &mut now, None), [MIN_MS; 10]);
}

#[test]
fn the_timeout_halves_with_each_call_after_a_slow_store_falls_silent() {
  let (mut timeout, mut now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  call_until_answered(&mut timeout, &mut now, Some(3_000));
  let limits = call_until_answered(&mut timeout, &mut now, None);
  assert_eq!(limits[..4], [4_000, 2_000, MIN_MS, MIN_MS]);
}

#[test]
fn a_call_that_timed_out_before_the_last_answer_changes_nothing() {
  let (mut timeout, now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  timeout.answered(now, CallKind::Read, 1_900);
  timeout.timed_out(now, CallKind::Read, MIN_MS);
  assert_eq!(timeout.timeout_ms(now, CallKind::Read), 3_800);
}

#[test]
fn no_timeout_exceeds_the_cap() {
  let (mut timeout, now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  timeout.answered(now, CallKind::Read, 60_000);
  assert_eq!(timeout.timeout_ms(now, CallKind::Read), timeout.max_ms());
}

#[test]
fn one_fast_answer_among_slow_ones_does_not_cut_the_timeout() {
  let (mut timeout, now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  for _ in 0..5 {
    timeout.answered(now, CallKind::Read, 1_900);
    timeout.answered(now, CallKind::Read, 5);
    assert!(timeout.timeout_ms(now, CallKind::Read) >= 1_900);
  }
}

#[test]
fn a_slow_answer_to_one_kind_of_call_raises_the_timeout_of_all_kinds() {
  let (mut timeout, now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  timeout.answered(now, CallKind::Lease, 1_900);
  for kind in [CallKind::Read, CallKind::Watch, CallKind::Write] {
    assert_eq!(timeout.timeout_ms(now, kind), 3_800);
  }
}

#[test]
fn a_slow_kind_of_call_keeps_its_timeout_while_others_are_fast() {
  let (mut timeout, now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  timeout.answered(now, CallKind::Read, 1_900);
  for _ in 0..4 {
    timeout.answered(now, CallKind::Lease, 5);
  }
  assert_eq!(timeout.timeout_ms(now, CallKind::Lease), MIN_MS);
  assert_eq!(timeout.timeout_ms(now, CallKind::Read), 3_800);
}

#[test]
fn an_old_answer_does_not_affect_the_timeout() {
  let (mut timeout, now) = (AdaptiveTimeout::new(MIN_MS), Time(0));
  timeout.answered(now, CallKind::Write, 1_900);
  assert_eq!(timeout.timeout_ms(now.after(60_000), CallKind::Write), MIN_MS);
}
