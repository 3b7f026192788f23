//! Which answers a box takes on to give over its network link, without sockets.
//!
//! The load: photos of 90 KB on links of 15 Mbit/s, half again as many as cross. Without a bound, 18 slots let 1.6 MB
//! wait in front of the link, and a kernel that takes them ahead of it lets it be any number of them.

use ferryyoke::{requests::AnswerBudget, values::Time};

/// Bytes of a photo.
const PHOTO_BYTES: u64 = 90_000;

/// Megabits a second.
const LINK_MBPS: f64 = 15.0;

/// Bytes that the link carries in a second.
const LINK_BYTES_PER_S: u64 = 1_875_000;

/// Milliseconds that a request is patient.
const PATIENT_MS: u64 = 1_000;

/// A request arrives each `gap_ms` for ten seconds. Returns the bytes that were taken on.
fn press(budget: &mut AnswerBudget, gap_ms: usize, insists: bool) -> u64 {
  let reserved = (0..10_000).step_by(gap_ms).filter(|now| {
    let now = Time(u64::try_from(*now).expect("a time"));
    budget.reserve(now, PHOTO_BYTES, PATIENT_MS, insists).is_ok()
  });
  reserved.count() as u64 * PHOTO_BYTES
}

#[test]
fn no_more_is_taken_on_than_the_link_carries() {
  for insists in [false, true] {
    let reserved = press(&mut AnswerBudget::new(LINK_MBPS), 32, insists);
    assert!(reserved <= LINK_BYTES_PER_S * 10, "{reserved} bytes");
    assert!(reserved >= LINK_BYTES_PER_S * 9, "the link is used: {reserved} bytes");
  }
}

#[test]
fn what_the_link_carries_with_ease_is_taken_on() {
  let reserved = press(&mut AnswerBudget::new(LINK_MBPS), 60, false);
  assert_eq!(reserved, 10_000 / 60 * PHOTO_BYTES + PHOTO_BYTES);
}

#[test]
fn a_request_that_can_go_elsewhere_does_so_before_the_queue_is_long() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  let asked =
    (0..50).take_while(|_| budget.reserve(Time(0), PHOTO_BYTES, PATIENT_MS, false).is_ok());
  assert_eq!(asked.count(), 2);
  assert!(budget.reserve(Time(0), PHOTO_BYTES, PATIENT_MS, true).is_ok());
}

#[test]
fn small_answers_are_always_taken_on_and_patience_binds() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  while budget.reserve(Time(0), PHOTO_BYTES, PATIENT_MS, true).is_ok() {}
  assert!(budget.reserve(Time(0), 1_500, 0, false).is_ok());
  let back_ms =
    budget.reserve(Time(0), PHOTO_BYTES, PATIENT_MS, true).expect_err("the link is full");
  assert!((250..400).contains(&back_ms), "{back_ms}");
  assert!(
    budget.reserve(Time(back_ms), PHOTO_BYTES, 0, true).is_ok(),
    "the time to come back holds"
  );
  assert!(budget.reserve(Time(back_ms), PHOTO_BYTES, 0, true).is_err(), "no patience, no queue");
}

#[test]
fn reservations_are_settled_by_what_came() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  budget.reserve(Time(0), PHOTO_BYTES, PATIENT_MS, true).expect("an empty link");
  budget.settle(Time(10), PHOTO_BYTES, 0);
  assert_eq!(budget.load_percent(Time(10)), 0);
  budget.reserve(Time(10), 1_500, PATIENT_MS, true).expect("an empty link");
  budget.settle(Time(20), 1_500, 10 * PHOTO_BYTES);
  assert!(budget.load_percent(Time(20)) >= 100);
  assert!(budget.reserve(Time(20), PHOTO_BYTES, PATIENT_MS, true).is_err());
}

/// Answers to the box's own callers are not asked for, and leave less for others.
#[test]
fn what_goes_to_callers_is_counted() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  budget.give(Time(0), 6 * PHOTO_BYTES);
  assert!(budget.reserve(Time(0), PHOTO_BYTES, PATIENT_MS, true).is_err());
}
