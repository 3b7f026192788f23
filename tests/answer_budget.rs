//! Tests which answers a box accepts to send over its network link, without sockets.
//!
//! The load is photos of 90 KB on a link of 15 Mbit/s, one and a half times as many as it carries.
//! Without a limit, 18 slots let 1.6 MB queue in front of the link, and the kernel's send buffers
//! allow any number of answers more.

use ferryyoke::{requests::AnswerBudget, values::Time};

/// Size of a photo.
const PHOTO_BYTES: u64 = 90_000;

/// Rate of the link in megabits a second.
const LINK_MBPS: f64 = 15.0;

/// The same rate in bytes a second.
const LINK_BYTES_PER_S: u64 = 1_875_000;

/// Longest wait of a request in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// Sends a request every `gap_ms` for ten seconds. Returns the bytes of the accepted answers.
fn reserve_repeatedly(budget: &mut AnswerBudget, gap_ms: usize, insists: bool) -> u64 {
  let reserved = (0..10_000).step_by(gap_ms).filter(|now| {
    let now = Time(u64::try_from(*now).expect("a time"));
    budget.reserve(now, PHOTO_BYTES, MAX_WAIT_MS, insists).is_ok()
  });
  reserved.count() as u64 * PHOTO_BYTES
}

#[test]
fn accepted_answers_do_not_exceed_the_link_rate() {
  for insists in [false, true] {
    let reserved = reserve_repeatedly(&mut AnswerBudget::new(LINK_MBPS), 32, insists);
    assert!(reserved <= LINK_BYTES_PER_S * 10, "{reserved} bytes");
    assert!(reserved >= LINK_BYTES_PER_S * 9, "the link is used: {reserved} bytes");
  }
}

#[test]
fn all_answers_are_accepted_below_the_link_rate() {
  let reserved = reserve_repeatedly(&mut AnswerBudget::new(LINK_MBPS), 60, false);
  assert_eq!(reserved, 10_000 / 60 * PHOTO_BYTES + PHOTO_BYTES);
}

#[test]
fn an_optional_answer_is_refused_at_a_shorter_queue() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  let asked =
    (0..50).take_while(|_| budget.reserve(Time(0), PHOTO_BYTES, MAX_WAIT_MS, false).is_ok());
  assert_eq!(asked.count(), 2);
  assert!(budget.reserve(Time(0), PHOTO_BYTES, MAX_WAIT_MS, true).is_ok());
}

#[test]
fn small_answers_are_always_accepted_and_the_max_wait_is_kept() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  while budget.reserve(Time(0), PHOTO_BYTES, MAX_WAIT_MS, true).is_ok() {}
  assert!(budget.reserve(Time(0), 1_500, 0, false).is_ok());
  let back_ms =
    budget.reserve(Time(0), PHOTO_BYTES, MAX_WAIT_MS, true).expect_err("the link is full");
  assert!((250..400).contains(&back_ms), "{back_ms}");
  assert!(
    budget.reserve(Time(back_ms), PHOTO_BYTES, 0, true).is_ok(),
    "the returned retry time suffices"
  );
  assert!(
    budget.reserve(Time(back_ms), PHOTO_BYTES, 0, true).is_err(),
    "without time to wait, no queue is accepted"
  );
}

#[test]
fn a_reservation_is_replaced_by_the_real_size() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  budget.reserve(Time(0), PHOTO_BYTES, MAX_WAIT_MS, true).expect("an empty link");
  budget.settle(Time(10), PHOTO_BYTES, 0);
  assert_eq!(budget.load_percent(Time(10)), 0);
  budget.reserve(Time(10), 1_500, MAX_WAIT_MS, true).expect("an empty link");
  budget.settle(Time(20), 1_500, 10 * PHOTO_BYTES);
  assert!(budget.load_percent(Time(20)) >= 100);
  assert!(budget.reserve(Time(20), PHOTO_BYTES, MAX_WAIT_MS, true).is_err());
}

/// Answers to the box's own callers need no reservation, but leave less of the link for others.
#[test]
fn answers_to_own_callers_are_counted() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  budget.count_unreserved(Time(0), 6 * PHOTO_BYTES);
  assert!(budget.reserve(Time(0), PHOTO_BYTES, MAX_WAIT_MS, true).is_err());
}

/// Guards against requests of remote callers that run although the links of the caller's box can't
/// carry their large answers in time.
#[test]
fn a_caller_is_refused_where_the_own_links_are_too_late() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  let due = Time(800);
  assert_eq!(budget.refuses_caller(Time(0), PHOTO_BYTES, 0.0, due), None, "the link is free");
  for _ in 0..20 {
    budget.count_unreserved(Time(0), PHOTO_BYTES);
  }
  // Twenty photos are a second of the link.
  let back_ms = budget.refuses_caller(Time(0), PHOTO_BYTES, 0.0, due).expect("it would be late");
  assert_eq!(budget.refuses_caller(Time(0), 1_500, 0.0, due), None, "small ones pass");
  assert_eq!(budget.refuses_caller(Time(0), PHOTO_BYTES, 0.0, Time(3_000)), None, "it has time");
  let again = Time(back_ms);
  assert_eq!(budget.refuses_caller(again, PHOTO_BYTES, 0.0, again.after(800)), None, "true time");
}

/// Guards against a link that owes more than was expected of it: answers counted from the start of
/// their runs are ready all together, after the expected queue has drained.
#[test]
fn what_is_owed_in_fact_refuses_further_answers() {
  let mut budget = AnswerBudget::new(LINK_MBPS);
  budget.note_owed(Time(0), 300.0);
  assert!(budget.reserve(Time(0), PHOTO_BYTES, MAX_WAIT_MS, true).is_err());
  assert!(budget.reserve(Time(0), 1_500, MAX_WAIT_MS, false).is_ok(), "small ones pass");
  assert!(budget.reserve(Time(60), PHOTO_BYTES, MAX_WAIT_MS, true).is_ok(), "it drains");
  budget.note_owed(Time(60), 10.0);
  assert!(budget.wait_ms(Time(60)) > 200, "less than expected changes nothing");
}
