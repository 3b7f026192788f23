//! Tests how a daemon tells whether an attempt arrived whose connection stopped delivering.
//!
//! Guards against needless 502 and 504 answers. When connections between daemons stopped delivering
//! without an error, 185 to 534 requests a run failed so although no backend server had received
//! them: as nothing showed whether they had arrived, they could not be sent again.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    requests::{AttemptStatus, ReceivedAttempts},
    values::{Time, TryKey},
  },
  support::histories,
};

/// Number of random histories.
const HISTORIES: u64 = 2_000;

const KEY: TryKey = TryKey(7);

/// Returns the record of a daemon that has run for a long time, and the current time.
fn long_running() -> (ReceivedAttempts<u64>, Time) {
  (ReceivedAttempts::new(Time(0)), Time(100_000))
}

#[test]
fn an_attempt_that_never_arrived_is_rejected_later() {
  let (mut book, now) = long_running();
  assert_eq!(book.query(now, KEY, 300), AttemptStatus::NeverArrived);
  assert!(!book.arrive(now.after(10), KEY));
  assert!(
    !book.arrive(now.after(60_000), KEY),
    "the kernel still sends the data of a closed connection"
  );
  assert_eq!(book.query(now.after(20), KEY, 320), AttemptStatus::NeverArrived);
}

#[test]
fn a_running_attempt_is_reported_and_its_answer_returned_again() {
  let (mut book, now) = long_running();
  assert!(book.arrive(now, KEY));
  assert_eq!(book.query(now.after(400), KEY, 400), AttemptStatus::Running);
  book.end(now.after(500), KEY, Some(42));
  assert_eq!(book.query(now.after(900), KEY, 900), AttemptStatus::Answered(42));
  assert!(!book.arrive(now.after(950), KEY), "no attempt runs twice");
}

#[test]
fn an_attempt_that_ended_without_a_stored_answer_is_reported_as_ended() {
  let (mut book, now) = long_running();
  book.arrive(now, KEY);
  book.end(now.after(500), KEY, None);
  assert_eq!(
    book.query(now.after(510), KEY, 510),
    AttemptStatus::Running,
    "its answer is being sent"
  );
  assert_eq!(book.query(now.after(1_900), KEY, 1_900), AttemptStatus::Ended);
}

/// A daemon never reports an attempt as not run that it may have forgotten or received before a
/// restart.
#[test]
fn an_attempt_that_may_be_forgotten_is_unknown() {
  let (mut book, now) = long_running();
  book.arrive(now, KEY);
  book.end(now.after(100), KEY, Some(1));
  for other in 0..20 {
    book.arrive(now.after(600 * other), TryKey(1_000 + other));
  }
  assert_eq!(book.query(now.after(11_500), KEY, 11_500), AttemptStatus::Unknown);
  let mut restarted: ReceivedAttempts<u64> = ReceivedAttempts::new(now);
  assert_eq!(restarted.query(now.after(200), KEY, 250), AttemptStatus::Unknown);
  assert_eq!(restarted.query(now.after(200), KEY, 150), AttemptStatus::NeverArrived);
}

/// The answer to a delayed query is wrong where the attempt was forgotten meanwhile, which is
/// harmless, as the sender no longer waits for it. Later queries must not rely on it.
#[test]
fn a_delayed_query_proves_nothing_later() {
  let (mut book, now) = long_running();
  book.arrive(now, KEY);
  book.end(now.after(100), KEY, Some(1));
  book.arrive(now.after(9_000), TryKey(8));
  assert_eq!(
    book.query(now.after(9_000), KEY, 1_300),
    AttemptStatus::NeverArrived,
    "delayed by 8 s"
  );
  assert_eq!(book.query(now.after(9_500), KEY, 9_500), AttemptStatus::Unknown);
  let (mut book, now) = long_running();
  assert_eq!(book.query(now, KEY, 1_300), AttemptStatus::NeverArrived);
  assert_eq!(
    book.query(now.after(9_500), KEY, 10_800),
    AttemptStatus::NeverArrived,
    "rejected in time"
  );
}

/// In any order of events, an attempt that was reported as never arrived did not run before and
/// does not run later.
#[test]
fn never_arrived_holds_in_every_history() {
  histories(HISTORIES, history);
}

fn history(source: &mut Unstructured) -> Result<()> {
  let mut book: ReceivedAttempts<u64> = ReceivedAttempts::new(Time(1_000));
  let mut now = Time(1_000);
  let mut ran = std::collections::BTreeMap::new();
  let mut sent = std::collections::BTreeMap::new();
  let mut denied = std::collections::BTreeSet::new();
  while !source.is_empty() {
    now = now.after(u64::from(source.int_in_range(0..=1_500u32)?));
    let key = TryKey(source.int_in_range(0..=11u64)?);
    let sent_at = *sent.entry(key).or_insert(now);
    match source.int_in_range(0..=2u8)? {
      0 => {
        if book.arrive(now, key) {
          assert!(!denied.contains(&key), "{key} runs though it was reported as never arrived");
          ran.insert(key, now);
        }
      }
      1 if ran.contains_key(&key) => book.end(now, key, Some(key.0)),
      _ => {
        let age_ms = now.since_ms(sent_at);
        if source.ratio(1, 4)? {
          // A delayed query, whose sender no longer waits for the answer.
          book.query(now, key, age_ms / 4);
        } else if book.query(now, key, age_ms) == AttemptStatus::NeverArrived {
          assert!(!ran.contains_key(&key), "{key} ran and is reported as never arrived");
          denied.insert(key);
        }
      }
    }
    // By then, a kernel has given up sending the data of a closed connection.
    if now.0 > 100_000 {
      break;
    }
  }
  Ok(())
}
