//! Tests the deadlines of requests that arrive during a planned stop.

use ferryyoke::{requests::StopLimit, values::Time};

const STOP: StopLimit = StopLimit { ends_at: Time(5_700) };

#[test]
fn the_end_of_the_stop_caps_the_deadline_of_long_requests_only() {
  assert_eq!(STOP.deadline(Time(1_000), Time(2_000)), Some(Time(2_000)));
  assert_eq!(STOP.deadline(Time(1_000), Time(9_000)), Some(Time(5_200)));
}

#[test]
fn a_request_that_comes_too_late_is_not_accepted() {
  assert_eq!(STOP.deadline(Time(5_200), Time(9_000)), None);
  assert_eq!(StopLimit { ends_at: Time(100) }.deadline(Time(0), Time(9_000)), None);
}
