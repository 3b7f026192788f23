//! Large bodies on a narrow link, beside the small calls that need it too. The load: more bodies of 60 KB than the
//! link of 7 Mbit/s carries, all at once.

use ferryyoke::{
  requests::{BodyTurns, LinkBudget, Ticket},
  values::Time,
};

const LINK_MBPS: f64 = 7.0;
const BODY_BYTES: u64 = 60_000;

fn ticket(number: u64) -> Ticket {
  Ticket(number)
}

#[test]
fn one_large_body_comes_at_a_time_over_a_narrow_link_and_all_come_in_order() {
  let mut turns = BodyTurns::new(LINK_MBPS);
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
fn a_wide_link_takes_bodies_at_once() {
  let mut turns = BodyTurns::new(1_000.0);
  assert!((0..10).map(ticket).all(|one| turns.arrive(one, BODY_BYTES)));
}

#[test]
fn a_body_that_gives_up_its_place_holds_up_nobody() {
  let mut turns = BodyTurns::new(LINK_MBPS);
  assert!(turns.arrive(ticket(1), BODY_BYTES));
  assert!(!turns.arrive(ticket(2), BODY_BYTES));
  assert!(!turns.arrive(ticket(3), BODY_BYTES));
  assert_eq!(turns.leave(ticket(2)), []);
  assert_eq!(turns.leave(ticket(1)), [ticket(3)]);
}

/// Calls and answers fill a part of the link that bodies then do not get, so that they do not queue up there.
#[test]
fn bodies_get_what_calls_leave_of_the_link() {
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

/// Where the link is slower than reckoned, bodies wait already: no more are taken than come in soon.
#[test]
fn no_body_is_taken_behind_a_backlog() {
  let mut turns = BodyTurns::new(LINK_MBPS);
  for number in 0..5 {
    turns.arrive(ticket(number), BODY_BYTES);
  }
  let mut link = LinkBudget::new(LINK_MBPS);
  assert!(link.take(Time(1_000), Some(BODY_BYTES), 500, turns.backlog_ms()).is_err());
}
