//! Tests the scheduling of large bodies on a narrow link that small calls need too.
//!
//! The load is more bodies of 60 KB at once than a link of 7 Mbit/s carries.

use ferryyoke::{
  requests::{BodyQueue, LinkBudget, Ticket},
  values::Time,
};

const LINK_MBPS: f64 = 7.0;
const BODY_BYTES: u64 = 60_000;

fn ticket(number: u64) -> Ticket {
  Ticket(number)
}

#[test]
fn a_narrow_link_takes_one_large_body_at_a_time_in_order() {
  let mut turns = BodyQueue::new(LINK_MBPS);
  let mut coming: Vec<Ticket> =
    (0..10).map(ticket).filter(|one| turns.arrive(*one, BODY_BYTES)).collect();
  let mut came = Vec::new();
  while let Some(next) = coming.pop() {
    assert!(coming.is_empty(), "a call waits behind one body at most");
    came.push(next);
    coming.extend(turns.leave(next));
  }
  assert_eq!(came, (0..10).map(ticket).collect::<Vec<_>>());
  assert!(turns.backlog_ms() < f64::EPSILON);
}

#[test]
fn a_fast_link_takes_all_bodies_at_once() {
  let mut turns = BodyQueue::new(1_000.0);
  assert!((0..10).map(ticket).all(|one| turns.arrive(one, BODY_BYTES)));
}

#[test]
fn a_body_that_is_given_up_delays_no_other() {
  let mut turns = BodyQueue::new(LINK_MBPS);
  assert!(turns.arrive(ticket(1), BODY_BYTES));
  assert!(!turns.arrive(ticket(2), BODY_BYTES));
  assert!(!turns.arrive(ticket(3), BODY_BYTES));
  assert_eq!(turns.leave(ticket(2)), []);
  assert_eq!(turns.leave(ticket(1)), [ticket(3)]);
}

/// Bodies get only the part of the link that calls and answers leave, so that no queue builds up.
#[test]
fn bodies_get_the_rest_of_the_link() {
  let taken = |other_bytes_each_ms: u64| {
    let mut link = LinkBudget::new(LINK_MBPS);
    let mut taken = 0;
    for now in 0..10_000 {
      link.note(Time(now), other_bytes_each_ms);
      taken += u64::from(link.take(Time(now), Some(BODY_BYTES), 100, 0.0).is_ok()) * BODY_BYTES;
    }
    taken
  };
  let link_bytes = 7_000_000 / 8 * 10;
  assert!(taken(0) > link_bytes * 75 / 100);
  let other = 350;
  let (bodies, others) = (taken(other), other * 10_000);
  assert!(bodies + others < link_bytes, "{bodies} bytes of bodies beside {others}");
  assert!(bodies > link_bytes * 45 / 100, "{bodies} bytes of bodies beside {others}");
}

/// Bodies queue where the link is slower than its configured rate. No body is then accepted that
/// would not arrive soon.
#[test]
fn no_body_is_accepted_behind_a_backlog() {
  let mut turns = BodyQueue::new(LINK_MBPS);
  for number in 0..5 {
    turns.arrive(ticket(number), BODY_BYTES);
  }
  let mut link = LinkBudget::new(LINK_MBPS);
  assert!(link.take(Time(1_000), Some(BODY_BYTES), 500, turns.backlog_ms()).is_err());
}
