//! Detects whether a new version answers worse than the one in force, comparing the same routes over the same time.

use super::*;

/// The increase of the failure share from which a version is bad. One or two faulty backend servers cause smaller
/// differences.
const FAILURES_MORE: f64 = 0.08;
/// The least failed or slow answers on a route for a conclusion.
const BAD_MIN: u32 = 5;
/// The failure share assumed of the version in force on a route where it has too few answers.
const FAILURES_ASSUMED: f64 = 0.05;
/// The least failures for a conclusion on a route where the version in force has too few answers.
const FAILURES_MIN_ALONE: u32 = 12;
/// The least answers of the version in force for its own failure share to be used.
const ANSWERS_MIN: u32 = 10;
/// The largest share of the answers of the version in force that may count as slow.
const SLOW_USUAL: f64 = 0.02;
/// The share of slow answers tolerated of any version: a few of many answers are slow by chance.
const SLOW_GRANTED: f64 = 0.05;
/// The increase of the slow share from which a version is bad. A machine of half the speed causes less.
const SLOW_MORE: f64 = 0.15;
/// The least timed runs of a version on a route for a conclusion.
const TIMED_MIN: u32 = 8;
/// The base-2 logarithm of the slowdown from which a version is bad. Exceeds what a busy or slower machine does to
/// the same software.
const SLOWER_POWER: f64 = 1.3;
/// The base-2 logarithm of the slowdown that must remain after subtracting the error margin.
const SLOWER_CERTAINLY_POWER: f64 = 0.6;
/// The assumed standard deviation of the base-2 logarithm of a duration. Backend servers differ in speed and
/// requests differ in work by factors.
const POWER_DEVIATION: f64 = 1.45;
/// The standard errors by which a difference must exceed chance. High, because several routes are compared several
/// times a second.
const ERRORS: f64 = 3.5;
/// One in this many backend servers of the new version, the worst ones, is left out, and at least one where there are
/// several. Their faults may be their own; a fault of the version shows on all.
const LEFT_OUT: usize = 5;

/// Returns why the new version is bad, or `None` without evidence of that. Takes the tallies of each box of the
/// version in force and of the new one. Durations are compared only over the same seconds, as a burst slows down any
/// version.
pub(super) fn find_regression(
  base: &[BTreeMap<RouteName, Tally>],
  target: &[BTreeMap<RouteName, Tally>],
  compares_times: bool,
) -> Option<String> {
  let routes: BTreeSet<&RouteName> = target.iter().flat_map(BTreeMap::keys).collect();
  routes.into_iter().find_map(|route| judge_route(route, base, target, compares_times))
}

fn judge_route(
  route: &RouteName,
  base: &[BTreeMap<RouteName, Tally>],
  target: &[BTreeMap<RouteName, Tally>],
  compares_times: bool,
) -> Option<String> {
  let of = |boxes: &[BTreeMap<RouteName, Tally>]| -> Vec<Tally> {
    boxes.iter().filter_map(|tallies| tallies.get(route)).copied().collect()
  };
  let (old, new) = (sum(&of(base)), of(target));
  let slow = || is_slow_more_often(&old, &new).or_else(|| is_slower(&old, &new));
  let difference = fails_more(&old, &new).or_else(|| compares_times.then(slow).flatten());
  difference.map(|difference| format!("route {route}: {difference}"))
}

fn fails_more(old: &Tally, new: &[Tally]) -> Option<String> {
  let new = sum(&without_worst(new, Tally::failure_share));
  let usual = if old.answers < ANSWERS_MIN {
    if new.failures < FAILURES_MIN_ALONE {
      return None;
    }
    Share::assumed(FAILURES_ASSUMED)
  } else {
    Share { bad: old.failures, of: old.answers }
  };
  let now = Share { bad: new.failures, of: new.answers };
  now.exceeds(usual, FAILURES_MORE).then(|| {
    let (failures, answers, usual) = (new.failures, new.answers, usual.part());
    format!("{failures} of {answers} answers failed, against a share of {usual:.3} before")
  })
}

/// Detects that a part of the answers takes much longer than nearly all answers of the version in force.
fn is_slow_more_often(old: &Tally, new: &[Tally]) -> Option<String> {
  if old.timed() < TIMED_MIN {
    return None;
  }
  let power = (0..=Tally::POWERS).find(|power| old.slow_share(*power) <= SLOW_USUAL)?;
  let new = sum(&without_worst(new, |tally| tally.slow_share(power)));
  let usual = Share { bad: old.slow(power), of: old.timed() };
  let now = Share { bad: new.slow(power), of: new.timed() };
  let exceeds =
    now.exceeds(usual, SLOW_MORE) && now.exceeds(Share::assumed(SLOW_GRANTED), SLOW_MORE);
  exceeds.then(|| {
    let (slow, timed, from_ms) = (now.bad, now.of, 1u64 << power);
    format!(
      "{slow} of {timed} answers took {from_ms} ms or longer, against a share of {:.3} before",
      usual.part()
    )
  })
}

/// Detects that answers take longer on average.
fn is_slower(old: &Tally, new: &[Tally]) -> Option<String> {
  let new = sum(&without_worst(new, Tally::mean_power));
  let (old_timed, timed) = (old.timed(), new.timed());
  if timed < TIMED_MIN || old_timed < TIMED_MIN {
    return None;
  }
  let more = new.mean_power() - old.mean_power();
  let error = POWER_DEVIATION * (1.0 / f64::from(timed) + 1.0 / f64::from(old_timed)).sqrt();
  let is_worse = more > SLOWER_POWER && more - SLOWER_CERTAINLY_POWER > ERRORS * error;
  is_worse.then(|| format!("{timed} answers took {:.1} times as long", more.exp2()))
}

/// A number of bad answers out of `of`.
#[derive(Clone, Copy, Debug)]
struct Share {
  bad: u32,
  of: u32,
}

impl Share {
  /// A share that is assumed without data, weighted like one from 100 answers.
  fn assumed(part: f64) -> Self {
    const MANY: f64 = 100.0;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bad = (MANY * part) as u32;
    Self { bad, of: 100 }
  }

  fn part(self) -> f64 {
    f64::from(self.bad) / f64::from(self.of.max(1))
  }

  /// Whether it exceeds another share by more than `more` and by more than chance explains.
  fn exceeds(self, usual: Self, more: f64) -> bool {
    let difference = self.part() - usual.part();
    let pooled = f64::from(self.bad + usual.bad) / f64::from((self.of + usual.of).max(1));
    let spread = 1.0 / f64::from(self.of.max(1)) + 1.0 / f64::from(usual.of.max(1));
    let error = (pooled * (1.0 - pooled) * spread).sqrt();
    self.bad >= BAD_MIN && difference > more && difference > ERRORS * error
  }
}

fn sum(tallies: &[Tally]) -> Tally {
  let mut sum = Tally::default();
  for tally in tallies {
    sum += *tally;
  }
  sum
}

/// Returns the tallies without those of the worst backend servers.
fn without_worst(tallies: &[Tally], badness: impl Fn(&Tally) -> f64) -> Vec<Tally> {
  let mut kept: Vec<Tally> = tallies.iter().filter(|tally| tally.answers > 0).copied().collect();
  kept.sort_by(|one, other| badness(one).total_cmp(&badness(other)));
  let left_out = (kept.len() / LEFT_OUT).max(usize::from(kept.len() > 1));
  kept.truncate(kept.len() - left_out);
  kept
}
