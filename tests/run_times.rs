//! Tests how long runs are expected to take, in virtual time.

use {
  ferryyoke::{
    requests::{
      BackendMonitor, LogAverage, RouteKind, RunEstimate, RunTimes, Slowdown, SpeedMonitor,
    },
    values::Time,
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
};

/// Milliseconds between two changes of which backend servers have noisy neighbours.
const NOISE_MS: u64 = 600;
/// Share of the backend servers that have noisy neighbours.
const NOISY_SHARE: f64 = 0.15;
/// Slowdown by a noisy neighbour, in percent.
const NOISY_PERCENT: u32 = 250;

/// A kind of request: its median run time in milliseconds, and its spread.
#[derive(Clone, Copy)]
struct Load {
  spread: f64,
  usual_ms: f64,
}

const SHORT: Load = Load { spread: 0.5, usual_ms: 50.0 };
const LONG: Load = Load { spread: 0.3, usual_ms: 550.0 };

impl Load {
  /// Draws the microseconds that a run takes at a slowdown.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn run_us(self, slowdown: Slowdown, rng: &mut ChaCha8Rng) -> u64 {
    let (one, other): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos();
    slowdown.apply((self.usual_ms * 1_000.0 * (normal * self.spread).exp()) as u64)
  }
}

/// The true slowdowns of the backend servers of a service.
struct Servers {
  lasting: Vec<Slowdown>,
  moment: Vec<Slowdown>,
}

impl Servers {
  fn new(count: usize, rng: &mut ChaCha8Rng) -> Self {
    let mut servers = Self {
      lasting: (0..count).map(|_| Slowdown::from_percent(rng.random_range(60..=140))).collect(),
      moment: vec![Slowdown::NONE; count],
    };
    servers.change_noise(rng);
    servers
  }

  fn change_noise(&mut self, rng: &mut ChaCha8Rng) {
    for moment in &mut self.moment {
      let is_noisy = rng.random_bool(NOISY_SHARE);
      *moment = Slowdown::from_percent(if is_noisy { NOISY_PERCENT } else { 100 });
    }
  }

  fn slowdown(&self, index: usize) -> Slowdown {
    let permille = self.lasting[index].percent() * self.moment[index].percent();
    Slowdown::from_percent(permille / 100)
  }
}

fn estimate(usual_ms: u64, spread_percent: u32) -> RunEstimate {
  RunEstimate::new(usual_ms * 1_000, spread_percent)
}

fn kind() -> RouteKind {
  RouteKind::of(&"service".parse().expect("a name"), &ferryyoke::configuration::Handling::default())
}

/// How many verdicts on "in time" were right, and how many said "in time" and came true.
#[derive(Debug, Default)]
struct Score {
  in_time: u32,
  in_time_true: u32,
  right: u32,
  total: u32,
}

impl Score {
  fn add(&mut self, says_in_time: bool, is_in_time: bool) {
    self.total += 1;
    self.right += u32::from(says_in_time == is_in_time);
    self.in_time += u32::from(says_in_time);
    self.in_time_true += u32::from(says_in_time && is_in_time);
  }

  fn true_share(&self) -> f64 {
    f64::from(self.in_time_true) / f64::from(self.in_time.max(1))
  }

  fn right_share(&self) -> f64 {
    f64::from(self.right) / f64::from(self.total)
  }
}

/// Guards against wrong verdicts "in time": from one mean time for short and long routes, and from
/// the speed at another moment.
#[test]
fn verdicts_in_time_come_true_under_noise() {
  let (mut by_work, mut by_mean) = (Score::default(), Score::default());
  for seed in 0..5 {
    play_verdicts(seed, &mut by_work, &mut by_mean);
  }
  println!("by work {by_work:?}, by mean {by_mean:?}");
  assert!(by_work.true_share() >= 0.8, "{by_work:?}");
  assert!(by_work.right_share() > by_mean.right_share(), "{by_work:?} against {by_mean:?}");
  assert!(by_work.true_share() > by_mean.true_share(), "{by_work:?} against {by_mean:?}");
}

fn play_verdicts(seed: u64, by_work: &mut Score, by_mean: &mut Score) {
  const SERVERS: usize = 30;
  const RUNS: u64 = 20_000;
  const LEARNING_RUNS: u64 = 4_000;
  let mut rng = ChaCha8Rng::seed_from_u64(seed);
  let mut servers = Servers::new(SERVERS, &mut rng);
  let mut speeds = vec![SpeedMonitor::default(); SERVERS];
  let mut means = vec![BackendMonitor::default(); SERVERS];
  let mut times = RunTimes::default();
  let routes = ["short".parse().expect("a name"), "long".parse().expect("a name")];
  let long_share = rng.random_range(0.2..0.8);
  for run in 0..RUNS {
    let now = Time(run * 2);
    if now.0.is_multiple_of(NOISE_MS) {
      servers.change_noise(&mut rng);
    }
    let is_long = rng.random_bool(long_share);
    let load = if is_long { LONG } else { SHORT };
    let route = &routes[usize::from(is_long)];
    let index = rng.random_range(0..SERVERS);
    let slowdown = servers.slowdown(index);
    let took_us = load.run_us(slowdown, &mut rng);
    let estimate = times.estimate(route, &kind());
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let left_us = (load.usual_ms * rng.random_range(300.0..3_000.0)) as u64;
    speeds[index].told(now, Some(servers.moment[index]));
    if run >= LEARNING_RUNS {
      let here = estimate.expect("learned").at(speeds[index].slowdown(now));
      let is_in_time = took_us <= left_us;
      by_work.add(here.chance_within(left_us) >= 0.5, is_in_time);
      by_mean.add(left_us * 2 >= means[index].service_us(), is_in_time);
    }
    #[allow(clippy::cast_precision_loss)]
    means[index].record_run(took_us as f64 / 1_000.0, false);
    let work_us = speeds[index].record_run(now, took_us, servers.moment[index], estimate);
    times.note(route, &kind(), work_us.expect("told"));
  }
}

/// Guards against a fleet that takes a change of the mix of routes for a change of speed.
#[test]
fn a_change_of_the_mix_is_no_slowdown() {
  let mut rng = ChaCha8Rng::seed_from_u64(1);
  let mut speed = SpeedMonitor::default();
  for run in 0..400_u64 {
    let load = if run < 200 { SHORT } else { LONG };
    let (now, took_us) = (Time(run * 10), load.run_us(Slowdown::NONE, &mut rng));
    speed.told(now, Some(Slowdown::NONE));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let expected = estimate(load.usual_ms as u64, (load.spread * 100.0) as u32);
    speed.record_run(now, took_us, Slowdown::NONE, Some(expected));
  }
  let percent = speed.slowdown(Time(4_000)).percent();
  assert!((80..=125).contains(&percent), "{percent}");
}

/// Guards against a told slowdown that is frozen or far wrong, and would keep work away for good.
#[test]
fn a_wrong_figure_is_corrected_by_the_runs() {
  for wrong in [20, 50, 400, 1_500] {
    let mut speed = SpeedMonitor::default();
    let told = Slowdown::from_percent(wrong);
    for run in 0..600 {
      speed.told(Time(run), Some(told));
      speed.record_run(Time(run), 100_000, told, Some(estimate(100, 30)));
    }
    let percent = speed.slowdown(Time(600)).percent();
    assert!((80..=125).contains(&percent), "told {wrong}: {percent}");
  }
}

/// Guards against a told slowdown that counts long after it was told.
#[test]
fn a_figure_that_is_told_no_more_loses_its_weight() {
  let mut speed = SpeedMonitor::default();
  speed.told(Time(0), Some(Slowdown::from_percent(800)));
  assert_eq!(speed.slowdown(Time(100)).percent(), 800);
  assert_eq!(speed.slowdown(Time(5_000)), Slowdown::NONE);
  assert_eq!(speed.known_slowdown(Time(5_000)), None);
}

/// Guards against the speed of an earlier process that is kept for the next one at its address.
#[test]
fn another_process_begins_as_usual() {
  let mut speed = SpeedMonitor::default();
  for run in 0..100 {
    speed.told(Time(run), Some(Slowdown::NONE));
    speed.record_run(Time(run), 900_000, Slowdown::NONE, Some(estimate(100, 30)));
  }
  assert!(speed.slowdown(Time(100)).percent() > 500);
  speed.reset();
  assert_eq!(speed.slowdown(Time(100)), Slowdown::NONE);
  assert_eq!(speed.record_run(Time(100), 1, Slowdown::NONE, None), None, "nothing told");
}

/// Guards against a change for backend servers that tell no slowdown: nothing may be learned from
/// their runs.
#[test]
fn nothing_is_learned_where_nothing_is_told() {
  let mut speed = SpeedMonitor::default();
  let work_us = speed.record_run(Time(0), 100_000, Slowdown::NONE, Some(estimate(1, 30)));
  assert_eq!((work_us, speed.known_slowdown(Time(0))), (None, None));
}

/// Guards against single runs that hang, which would make a route look long for minutes.
#[test]
fn a_single_hung_run_moves_no_estimate() {
  let mut average = LogAverage::default();
  for _ in 0..100 {
    average.add(100_000);
  }
  average.add(u64::MAX);
  average.add(0);
  let usual_us = average.estimate().expect("learned").usual_us;
  assert!((90_000..=110_000).contains(&usual_us), "{usual_us}");
}

/// Guards against routes that are seldom called, of which nothing would ever be known.
#[test]
fn a_route_hardly_seen_borrows_from_its_kind() {
  let mut times = RunTimes::default();
  let (busy, idle) = ("busy".parse().expect("a name"), "idle".parse().expect("a name"));
  assert_eq!(times.estimate(&idle, &kind()), None);
  for _ in 0..50 {
    times.note(&busy, &kind(), 80_000);
  }
  let borrowed = times.estimate(&idle, &kind()).expect("borrowed").usual_us;
  assert!((79_000..=81_000).contains(&borrowed), "{borrowed}");
  times.retain(|_| false, std::iter::empty());
  assert_eq!(times.estimate(&busy, &kind()), None, "dropped with the route");
}

/// Guards against chances outside of 0 to 1 for extreme estimates and times.
#[test]
fn chances_stay_chances() {
  for (usual_us, spread, left_us) in
    [(0, 0, 0), (u64::MAX, u32::MAX, 1), (1, 0, u64::MAX), (1_000, 200, 1)]
  {
    for slowdown in [0, 100, u32::MAX] {
      let one = RunEstimate::new(usual_us, spread).at(Slowdown::from_percent(slowdown));
      let chance = one.chance_within(left_us);
      assert!((0.0..=1.0).contains(&chance), "{one:?}: {chance}");
      assert!(one.mean_ms().is_finite());
    }
  }
  let even = estimate(100, 30);
  assert!((even.chance_within(100_000) - 0.5).abs() < 0.001);
  assert!((even.chance_within(134_986) - 0.841).abs() < 0.001);
}
