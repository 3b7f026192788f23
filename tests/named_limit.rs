//! Tests of the rate limit that a backend server names in its answers.

use ferryyoke::{
  node::{BackendNotices, HeaderNames, LimitNotice},
  requests::{HeardLimits, LimitHint, NamedLimit},
  values::{BoxId, Rate, Time},
};

use http::{HeaderMap, HeaderName, HeaderValue};

fn rate(requests: f64) -> Rate {
  Rate::per_s(requests).expect("a rate")
}

#[test]
fn a_limit_holds_as_long_as_answers_name_it() {
  let mut limit = NamedLimit::default();
  assert!(limit.named(Time(1_000), rate(22.3)), "it is new");
  assert!(!limit.named(Time(1_400), rate(22.3)), "it is the same");
  assert!(limit.named(Time(1_500), rate(20.0)), "it changed");
  assert!(!limit.not_named(Time(1_800)), "an answer that began before may lack it");
  assert_eq!(limit.rate(), Some(rate(20.0)));
  assert!(limit.not_named(Time(2_000)));
  assert_eq!(limit.rate(), None);
  assert!(!limit.not_named(Time(9_000)), "there is none to end");
}

/// Guards against a limit that ends while some of the backend server's answers still name it.
#[test]
fn a_few_answers_without_the_limit_do_not_end_it() {
  let mut limit = NamedLimit::default();
  for at in (0..10_000).step_by(200).map(Time) {
    limit.named(at, rate(5.0));
    assert!(!limit.not_named(at.after(100)));
  }
  assert_eq!(limit.rate(), Some(rate(5.0)));
}

#[test]
fn notices_are_read_from_the_headers_of_an_answer() {
  let name = HeaderName::from_static;
  let names = HeaderNames {
    leaving: Some(name("leaving")),
    rate_limit: Some(name("limit")),
    ..HeaderNames::default()
  };
  let read = |values: &[(&'static str, &'static str)]| {
    let headers = values.iter().map(|(key, value)| (name(key), HeaderValue::from_static(value)));
    BackendNotices::read(&names, &headers.collect::<HeaderMap>())
  };
  let none = BackendNotices { is_leaving: false, limit: LimitNotice::NotNamed, slowdown: None };
  assert_eq!(read(&[]), none);
  let named = LimitNotice::Named(rate(22.3));
  assert_eq!(read(&[("limit", "22.3")]), BackendNotices { limit: named, ..none });
  assert_eq!(read(&[("leaving", "1")]), BackendNotices { is_leaving: true, ..none });
  assert_eq!(read(&[("leaving", "0")]), none);
  for unreadable in ["", "many", "-1", "NaN", "inf", "1e99"] {
    let limit = LimitNotice::Unreadable;
    assert_eq!(read(&[("limit", unreadable)]), BackendNotices { limit, ..none }, "{unreadable}");
  }
}

/// Guards against a hint that outlives the limit, or replaces what the process itself says.
#[test]
fn a_hint_counts_until_the_process_answers() {
  let mut limit = NamedLimit::default();
  assert!(limit.hinted(Time(0), rate(2.0)));
  assert!(!limit.hinted(Time(10), rate(3.0)), "one is enough");
  assert_eq!(limit.rate(), Some(rate(2.0)));
  assert!(limit.not_named(Time(1_000)), "the process names none");
  assert!(!limit.hinted(Time(1_010), rate(2.0)), "the hint is old");
  assert_eq!(limit.rate(), None);
  limit.reset();
  assert!(limit.hinted(Time(2_000), rate(2.0)), "of the next process");
}

#[test]
fn a_limit_that_was_heard_of_is_sent_along_until_an_answer_comes_without_it() {
  let (one, other): (BoxId, BoxId) =
    ("one".parse().expect("a name"), "other".parse().expect("a name"));
  let hint: LimitHint = "22.3/s i-7".parse().expect("a hint");
  assert_eq!(hint.to_string(), "22.3/s i-7");
  assert_eq!("5/s".parse(), Ok(LimitHint { instance: None, rate: rate(5.0) }));
  assert!("i-7 22.3/s".parse::<LimitHint>().is_err());
  let mut heard = HeardLimits::default();
  heard.answered(Time(0), &one, Some(hint.clone()));
  heard.answered(Time(0), &other, None);
  assert_eq!(heard.of(Time(30_000), &one), Some(&hint));
  assert_eq!(heard.of(Time(30_000), &other), None);
  assert_eq!(heard.of(Time(60_000), &one), None, "it may have ended long ago");
  heard.answered(Time(30_000), &one, None);
  assert_eq!(heard.of(Time(30_000), &one), None);
}
