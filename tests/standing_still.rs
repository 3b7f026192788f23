//! A process that stands still for seconds, and goes on.
//!
//! Its machine was suspended, which the steady clock leaves out, or it was stopped, or got no processor. What it knew is
//! old then; what it holds may be overdue; and what it measured meanwhile teaches nothing.

mod support;

use {
  ferryyoke::{
    distribution::{Action, Distribution, Event, Follower, Identity, LinkId, Moment, Timing},
    requests::{LimiterDecision, Demand, Limiter, Ticket},
    rollout::ShareLimits,
    timer::{self, Clocks, Stopwatch},
    values::Time,
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
  support::{endpoints::endpoint, followers::Followers, plain_source::PlainSource},
};

/// Milliseconds for which the process stands still.
const STILL_MS: u64 = 5_000;

/// Clocks that a test sets.
#[derive(Default)]
struct SetClocks {
  /// The time for which the machine was suspended.
  suspended: Cell<Duration>,
}

impl Clocks for SetClocks {
  fn steady(&self) -> Duration {
    timer::KernelClocks.steady()
  }

  fn whole(&self) -> Duration {
    self.steady() + self.suspended.get()
  }
}

impl SetClocks {
  fn install() -> Rc<Self> {
    let clocks = Rc::new(Self::default());
    timer::install(clocks.clone());
    timer::stood_still();
    clocks
  }

  fn suspend(&self, ms: u64) {
    self.suspended.set(self.suspended.get() + Duration::from_millis(ms));
  }
}

/// The suspension is told once, with its length.
fn check_told() {
  let told = timer::stood_still().expect("it is told").as_millis();
  assert!((u128::from(STILL_MS)..u128::from(STILL_MS) + 500).contains(&told), "{told} ms");
  assert_eq!(timer::stood_still(), None);
}

fn run(test: impl Future<Output = ()>) {
  ferryyoke::commands::block_on(test).expect("an event loop");
}

#[test]
fn whoever_waits_is_woken_where_the_time_is_over() {
  run(async {
    let clocks = SetClocks::install();
    let began = std::time::Instant::now();
    let sleeping = monoio::spawn(timer::sleep(Duration::from_secs(4)));
    let waiting =
      monoio::spawn(timer::timeout(Duration::from_secs(30), std::future::pending::<()>()));
    monoio::time::sleep(Duration::from_millis(50)).await;
    clocks.suspend(STILL_MS);
    check_told();
    sleeping.await;
    assert!(began.elapsed() < Duration::from_secs(1), "four seconds had passed");
    clocks.suspend(STILL_MS);
    timer::stood_still();
    monoio::time::sleep(Duration::from_millis(20)).await;
    clocks.suspend(6 * STILL_MS);
    timer::stood_still();
    assert_eq!(waiting.await, Err(timer::Elapsed));
    assert!(began.elapsed() < Duration::from_secs(2));
  });
}

#[test]
fn a_wait_that_is_not_over_goes_on() {
  run(async {
    let clocks = SetClocks::install();
    let began = timer::now();
    let sleeping = monoio::spawn(timer::sleep(Duration::from_millis(5_300)));
    monoio::time::sleep(Duration::from_millis(50)).await;
    clocks.suspend(STILL_MS);
    timer::stood_still();
    sleeping.await;
    let waited = timer::now().saturating_sub(began);
    assert!((5_300..5_600).contains(&waited.as_millis()), "{waited:?}");
  });
}

#[test]
fn a_measurement_across_a_suspension_says_nothing() {
  let clocks = SetClocks::install();
  let stopwatch = Stopwatch::start();
  assert!(stopwatch.read().is_some());
  clocks.suspend(STILL_MS);
  assert_eq!(stopwatch.read(), None, "before anybody else looked");
  check_told();
  assert!(Stopwatch::start().read().is_some());
}

#[test]
fn a_moment_between_two_readings_is_no_suspension() {
  let clocks = SetClocks::install();
  clocks.suspend(2);
  assert_eq!(timer::stood_still(), None);
}

#[test]
fn runs_and_waits_across_it_do_not_count_as_long() {
  let mut limiter = Limiter::new(1, 8);
  let demand = || Demand {
    class: "caller".parse().expect("a name"),
    due: Time(60_000),
    wait_until: Time(60_000),
    priority: 1,
  };
  let mut now = Time(0);
  for number in 0..50 {
    assert_eq!(limiter.arrive(now, Ticket(number), demand()), LimiterDecision::Admitted);
    now = now.after(100);
    limiter.leave(now, Ticket(number));
  }
  let usual_ms = limiter.expected_wait_ms();
  limiter.arrive(now, Ticket(100), demand());
  now = now.after(STILL_MS);
  limiter.stood_still(STILL_MS);
  limiter.leave(now.after(100), Ticket(100));
  assert!(limiter.expected_wait_ms().abs_diff(usual_ms) <= 1, "{}", limiter.expected_wait_ms());
}

/// Seen by reading: a follower asks the store anew once it notices that it stood still, by the time since the event
/// before a tick. Where its links ended while it was away, their ends came first, and it noticed nothing.
#[test]
fn a_follower_notices_it_whatever_it_hears_first() {
  let moment = |ms: u64| Moment { time: Time(ms), unix_ms: ms };
  let timing = Timing { beat_ms: 1_000, lease_ttl_ms: 4_000, news_delay_ms: 100, push_delay_ms: 0 };
  let identity = Identity {
    endpoint: endpoint("box", "hall", 8),
    seeds: Vec::new(),
    share_limits: ShareLimits::default(),
    timing,
  };
  let mut follower = Follower::new(moment(0), 7, identity, Arc::new(PlainSource));
  for ms in (0..3_000).step_by(50) {
    follower.handle(moment(ms), Event::Tick);
  }
  let back = 3_000 + STILL_MS;
  let mut actions = follower.handle(moment(back), Event::LinkClosed { link: LinkId::default() });
  actions.extend(follower.handle(moment(back + 10), Event::Tick));
  let is_noticed =
    |action: &Action| matches!(action, Action::Log(text) if text.contains("stood still"));
  assert!(actions.iter().any(is_noticed), "{actions:?}");
}

/// Boxes of the fleet in virtual time.
const BOXES: usize = 13;

/// Milliseconds after its return within which a box holds the newest version: the bound on whoever is in touch.
const CAUGHT_UP_MS: u64 = 3_000;

/// Any boxes sleep at any moment of changes, also several and again. What came for them meanwhile waits, and is heard
/// first as they return.
#[test]
fn boxes_that_slept_hold_the_newest_version_soon_and_never_an_older_one() {
  for seed in 0..40 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Followers::at_rest(BOXES);
    let mut held = [0; BOXES];
    let mut version = (0..BOXES).filter_map(|index| fleet.version(index)).max().unwrap_or(0);
    for _ in 0..4 {
      let sleepers = rng.random_range(1..6);
      let asleep = (0..sleepers).map(|_| Followers::box_id(rng.random_range(0..BOXES)));
      fleet.frozen.extend(asleep.collect::<Vec<_>>());
      fleet.run(rng.random_range(0..2_000));
      version += rng.random_range(1..4);
      fleet.write_version(version);
      fleet.run(rng.random_range(200..20_000));
      fleet.frozen.clear();
      fleet.run(CAUGHT_UP_MS);
      for (index, held) in held.iter_mut().enumerate() {
        let now = fleet.version(index).unwrap_or(0);
        assert_eq!(now, version, "seed {seed}, box {index}");
        assert!(now >= *held, "seed {seed}, box {index} went back from {held} to {now}");
        *held = now;
      }
    }
  }
}
