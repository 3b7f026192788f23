//! How much time a request has that comes during a planned stop.

use ferryyoke::{requests::StopLimit, values::Time};

const STOP: StopLimit = StopLimit { ends_at: Time(5_700) };

#[test]
fn a_short_request_keeps_its_time_and_a_long_one_ends_with_the_stop() {
  assert_eq!(STOP.deadline(Time(1_000), Time(2_000)), Some(Time(2_000)));
  assert_eq!(STOP.deadline(Time(1_000), Time(9_000)), Some(Time(5_200)));
}

#[test]
fn what_comes_too_late_is_not_taken() {
  assert_eq!(STOP.deadline(Time(5_200), Time(9_000)), None);
  assert_eq!(StopLimit { ends_at: Time(100) }.deadline(Time(0), Time(9_000)), None);
}
