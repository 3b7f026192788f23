//! Whether a try arrived, where the connection that it was sent on went silent.
//!
//! When connections between daemons went silent, 185 to 534 requests a play got 502 or 504 although no backend
//! server had seen them: nobody could tell whether they had arrived, so callers could not send them again.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    requests::{ArrivalBook, Whereabouts},
    values::{Time, TryKey},
  },
  support::histories,
};

/// Random histories.
const HISTORIES: u64 = 2_000;

const KEY: TryKey = TryKey(7);

/// A book of a daemon that runs for long.
fn book() -> (ArrivalBook<u64>, Time) {
  (ArrivalBook::new(Time(0)), Time(100_000))
}

#[test]
fn a_try_that_never_arrived_is_barred_from_then_on() {
  let (mut book, now) = book();
  assert_eq!(book.ask(now, KEY, 300), Whereabouts::NeverArrived);
  assert!(!book.arrive(now.after(10), KEY));
  assert!(!book.arrive(now.after(60_000), KEY), "the kernel of a closed connection still sends");
  assert_eq!(book.ask(now.after(20), KEY, 320), Whereabouts::NeverArrived);
}

#[test]
fn a_try_is_told_while_it_runs_and_its_answer_is_given_again() {
  let (mut book, now) = book();
  assert!(book.arrive(now, KEY));
  assert_eq!(book.ask(now.after(400), KEY, 400), Whereabouts::Running);
  book.end(now.after(500), KEY, Some(42));
  assert_eq!(book.ask(now.after(900), KEY, 900), Whereabouts::Answered(42));
  assert!(!book.arrive(now.after(950), KEY), "no try runs twice");
}

#[test]
fn a_try_that_ended_without_an_answer_to_keep_is_no_proof() {
  let (mut book, now) = book();
  book.arrive(now, KEY);
  book.end(now.after(500), KEY, None);
  assert_eq!(book.ask(now.after(510), KEY, 510), Whereabouts::Running, "its answer is on its way");
  assert_eq!(book.ask(now.after(1_900), KEY, 1_900), Whereabouts::Ended);
}

/// What a daemon no longer remembers, and what a former life of it may have taken, is never called "not run".
#[test]
fn what_may_be_forgotten_is_no_proof() {
  let (mut book, now) = book();
  book.arrive(now, KEY);
  book.end(now.after(100), KEY, Some(1));
  for other in 0..20 {
    book.arrive(now.after(600 * other), TryKey(1_000 + other));
  }
  assert_eq!(book.ask(now.after(11_500), KEY, 11_500), Whereabouts::Unknown);
  let mut restarted: ArrivalBook<u64> = ArrivalBook::new(now);
  assert_eq!(restarted.ask(now.after(200), KEY, 250), Whereabouts::Unknown);
  assert_eq!(restarted.ask(now.after(200), KEY, 150), Whereabouts::NeverArrived);
}

/// A question that was held up on its way is answered by what is remembered by then, and its sender does not wait
/// for that. Nothing may be concluded from it later.
#[test]
fn a_question_that_was_held_up_proves_nothing_later() {
  let (mut book, now) = book();
  book.arrive(now, KEY);
  book.end(now.after(100), KEY, Some(1));
  book.arrive(now.after(9_000), TryKey(8));
  assert_eq!(book.ask(now.after(9_000), KEY, 1_300), Whereabouts::NeverArrived, "held up for 8 s");
  assert_eq!(book.ask(now.after(9_500), KEY, 9_500), Whereabouts::Unknown);
  let (mut book, now) = self::book();
  assert_eq!(book.ask(now, KEY, 1_300), Whereabouts::NeverArrived);
  assert_eq!(book.ask(now.after(9_500), KEY, 10_800), Whereabouts::NeverArrived, "barred in time");
}

/// Whatever happens in whatever order: what was called "never arrived" does not run afterwards, and did not
/// before; and the book holds no more than what runs, ended lately or is barred.
#[test]
fn never_arrived_is_true_in_every_history() {
  histories(HISTORIES, history);
}

fn history(source: &mut Unstructured) -> Result<()> {
  let mut book: ArrivalBook<u64> = ArrivalBook::new(Time(1_000));
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
          assert!(!denied.contains(&key), "{key} runs though it was said not to have arrived");
          ran.insert(key, now);
        }
      }
      1 if ran.contains_key(&key) => book.end(now, key, Some(key.0)),
      _ => {
        let age_ms = now.since_ms(sent_at);
        if source.ratio(1, 4)? {
          // One that was held up: its sender does not wait for the answer.
          book.ask(now, key, age_ms / 4);
        } else if book.ask(now, key, age_ms) == Whereabouts::NeverArrived {
          assert!(!ran.contains_key(&key), "{key} ran and is said not to have arrived");
          denied.insert(key);
        }
      }
    }
    // A kernel gives up sending what a closed connection holds before that.
    if now.0 > 100_000 {
      break;
    }
  }
  Ok(())
}
