//! A process that is paused for seconds, and resumes.
//!
//! Its machine was suspended, which the monotonic clock does not count, or the process was stopped
//! or got no processor time. Its knowledge is then out of date, its timers may be overdue, and its
//! measurements across the pause are meaningless.

mod support;

use {
  ferryyoke::{
    distribution::{Action, Distribution, Event, Follower, Identity, LinkId, Moment, Timing},
    requests::{Demand, Limiter, LimiterDecision, Ticket},
    rollout::ShareLimits,
    timer::{self, Clocks, Stopwatch},
    values::Time,
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
  support::{endpoints::endpoint, followers::Followers, plain_source::PlainSource},
};

/// Duration of the pause, in milliseconds.
const PAUSE_MS: u64 = 5_000;

/// Clocks whose suspensions a test sets.
#[derive(Default)]
struct SetClocks {
  /// Total time for which the machine was suspended.
  suspended: Cell<Duration>,
}

impl Clocks for SetClocks {
  fn monotonic(&self) -> Duration {
    timer::KernelClocks.monotonic()
  }

  fn boot_time(&self) -> Duration {
    self.monotonic() + self.suspended.get()
  }
}

impl SetClocks {
  fn install() -> Rc<Self> {
    let clocks = Rc::new(Self::default());
    timer::install(clocks.clone());
    timer::take_pause();
    clocks
  }

  fn suspend(&self, ms: u64) {
    self.suspended.set(self.suspended.get() + Duration::from_millis(ms));
  }
}

/// Checks that the suspension is reported once, with its duration.
fn check_reported() {
  let reported = timer::take_pause().expect("it is reported").duration.as_millis();
  assert!((u128::from(PAUSE_MS)..u128::from(PAUSE_MS) + 500).contains(&reported), "{reported} ms");
  assert_eq!(timer::take_pause(), None);
}

fn run(test: impl Future<Output = ()>) {
  ferryyoke::commands::block_on(test).expect("an event loop");
}

#[test]
fn tasks_whose_time_is_over_are_woken() {
  run(async {
    let clocks = SetClocks::install();
    let began = std::time::Instant::now();
    let sleeping = monoio::spawn(timer::sleep(Duration::from_secs(4)));
    let waiting =
      monoio::spawn(timer::timeout(Duration::from_secs(30), std::future::pending::<()>()));
    monoio::time::sleep(Duration::from_millis(50)).await;
    clocks.suspend(PAUSE_MS);
    check_reported();
    sleeping.await;
    assert!(began.elapsed() < Duration::from_secs(1), "the four seconds were over");
    clocks.suspend(PAUSE_MS);
    timer::take_pause();
    monoio::time::sleep(Duration::from_millis(20)).await;
    clocks.suspend(6 * PAUSE_MS);
    timer::take_pause();
    assert_eq!(waiting.await, Err(timer::Elapsed));
    assert!(began.elapsed() < Duration::from_secs(2));
  });
}

#[test]
fn a_wait_that_is_not_over_continues() {
  run(async {
    let clocks = SetClocks::install();
    let began = timer::now();
    let sleeping = monoio::spawn(timer::sleep(Duration::from_millis(5_300)));
    monoio::time::sleep(Duration::from_millis(50)).await;
    clocks.suspend(PAUSE_MS);
    timer::take_pause();
    sleeping.await;
    let waited = timer::now().saturating_sub(began);
    assert!((5_300..5_600).contains(&waited.as_millis()), "{waited:?}");
  });
}

#[test]
fn a_measurement_across_a_suspension_is_discarded() {
  let clocks = SetClocks::install();
  let stopwatch = Stopwatch::start();
  assert!(stopwatch.read().is_some());
  clocks.suspend(PAUSE_MS);
  assert_eq!(stopwatch.read(), None, "before the pause was read elsewhere");
  check_reported();
  assert!(Stopwatch::start().read().is_some());
}

#[test]
fn a_moment_between_two_readings_is_no_suspension() {
  let clocks = SetClocks::install();
  clocks.suspend(2);
  assert_eq!(timer::take_pause(), None);
}

#[test]
fn runs_and_waits_do_not_include_a_pause() {
  let mut limiter = Limiter::new(1, 8);
  let demand = || Demand {
    class: "caller".parse().expect("a name"),
    due: Time(60_000),
    elapsed_ms: 0,
    is_call: false,
    wait_until: Time(60_000),
    priority: 1,
  };
  let mut now = Time(0);
  for number in 0..50 {
    assert_eq!(limiter.arrive(now, Ticket(number), demand()), LimiterDecision::Admitted);
    now = now.after(100);
    limiter.leave(now, Ticket(number));
  }
  let usual_ms = limiter.expected_wait_ms(now);
  limiter.arrive(now, Ticket(100), demand());
  now = now.after(PAUSE_MS);
  limiter.exclude_pause(PAUSE_MS);
  limiter.leave(now.after(100), Ticket(100));
  assert!(
    limiter.expected_wait_ms(now).abs_diff(usual_ms) <= 1,
    "{}",
    limiter.expected_wait_ms(now)
  );
}

/// A follower queries the store again once it detects a pause. If it measured the pause by the time
/// since the last event rather than the last tick, links that ended during the pause would hide it,
/// since their events come before the tick.
#[test]
fn a_follower_detects_a_pause_whatever_event_comes_first() {
  let moment = |ms: u64| Moment { time: Time(ms), unix_ms: ms };
  let timing =
    Timing { heartbeat_ms: 1_000, lease_ttl_ms: 4_000, endpoint_delay_ms: 100, update_delay_ms: 0 };
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
  let resumed_at = 3_000 + PAUSE_MS;
  let mut actions =
    follower.handle(moment(resumed_at), Event::LinkClosed { link: LinkId::default() });
  actions.extend(follower.handle(moment(resumed_at + 10), Event::Tick));
  let is_detected =
    |action: &Action| matches!(action, Action::Log(text) if text.contains("was paused for"));
  assert!(actions.iter().any(is_detected), "{actions:?}");
}

/// Boxes of the fleet in virtual time.
const BOXES: usize = 13;

/// Time, in milliseconds, after its return within which a box holds the newest version: the bound
/// for boxes that are in contact.
const CAUGHT_UP_MS: u64 = 3_000;

/// Random boxes are paused at random moments of changes, also several at once and repeatedly. Their
/// messages are queued meanwhile, and handled first when they resume.
#[test]
fn paused_boxes_soon_hold_the_newest_version_and_never_an_older_one() {
  for seed in 0..40 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Followers::at_rest(BOXES);
    let mut held = [0; BOXES];
    let mut version = (0..BOXES).filter_map(|index| fleet.version(index)).max().unwrap_or(0);
    for _ in 0..4 {
      let paused_boxes = rng.random_range(1..6);
      let paused = (0..paused_boxes).map(|_| Followers::box_id(rng.random_range(0..BOXES)));
      fleet.paused.extend(paused.collect::<Vec<_>>());
      fleet.run(rng.random_range(0..2_000));
      version += rng.random_range(1..4);
      fleet.write_version(version);
      fleet.run(rng.random_range(200..20_000));
      fleet.paused.clear();
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

/// Spins for a while, as a task does that never waits.
fn hold(ms: u64) {
  let until = std::time::Instant::now() + Duration::from_millis(ms);
  while std::time::Instant::now() < until {
    std::hint::spin_loop();
  }
}

/// Guards against an event loop that one task holds being taken for a machine that was suspended or had no processor
/// time to give: the log named both alike.
#[test]
fn a_held_event_loop_is_told_from_a_process_without_processor_time() {
  const HELD_MS: u64 = 1_200;
  SetClocks::install();
  hold(HELD_MS);
  let held = timer::take_pause().expect("it is reported");
  std::thread::sleep(Duration::from_millis(HELD_MS));
  let stopped = timer::take_pause().expect("it is reported");
  // Beside load, a spinning thread gets a part of a processor only.
  assert!(held.processor_time > 4 * stopped.processor_time, "{held:?}, {stopped:?}");
  assert!(stopped.processor_time < stopped.duration / 2, "{stopped:?}");
}
