//! Whether a new version answers worse than the one in force, by the same routes at the same time.

use super::*;

/// Added to the share of failures from which a version counts as bad. Below that a backend server or two in trouble
/// of their own make the difference.
const FAILURES_MORE: f64 = 0.08;
/// Answers that failed, or were slow, on a route before any conclusion.
const BAD_MIN: u32 = 5;
/// The share of failures that is assumed of the version in force where it got no requests of a route.
const FAILURES_ASSUMED: f64 = 0.05;
/// Failures on a route that the version in force got too few requests of before any conclusion.
const FAILURES_MIN_ALONE: u32 = 12;
/// Answers of the version in force from which its own share is believed.
const ANSWERS_MIN: u32 = 10;
/// The share of the answers of the version in force that may be slower than what counts as slow.
const SLOW_USUAL: f64 = 0.02;
/// The share of slow answers that any version is granted: few of many answers are slow by chance alone.
const SLOW_GRANTED: f64 = 0.05;
/// Added to that share, from which a version counts as bad: a machine of half the speed makes less of it.
const SLOW_MORE: f64 = 0.15;
/// Timed runs of a version on a route before any conclusion.
const TIMED_MIN: u32 = 8;
/// How many times slower a version must be altogether to count as bad, as a power of two: more than a full, or a
/// slower, machine makes of the same software.
const SLOWER_POWER: f64 = 1.3;
/// How many times slower it must be for certain, as a power of two.
const SLOWER_CERTAINLY_POWER: f64 = 0.6;
/// The standard deviation of the power of two of a time that is assumed: backend servers of different speeds, and
/// requests whose work spreads by factors.
const POWER_DEVIATION: f64 = 1.45;
/// Standard errors by which a difference must exceed chance. Several routes are looked at several times a second.
const ERRORS: f64 = 3.5;
/// One backend server in so many is left out of the new version's account, the worst ones, and one at least where
/// there are several: their trouble may be their own, a version's shows on all.
const LEFT_OUT: usize = 5;

/// Why a version is bad, from what boxes of the version in force and of the new one saw; nothing where it is not
/// known to be. Times are compared where all of it is of the same seconds: a burst makes any version slower.
pub(super) fn judge(
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

/// A part of the answers takes much longer than nearly all answers of the version in force.
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

/// All answers take longer.
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

/// Bad ones of so many.
#[derive(Clone, Copy, Debug)]
struct Share {
  bad: u32,
  of: u32,
}

impl Share {
  /// What is assumed where nothing was seen, as if it were known from many answers.
  fn assumed(part: f64) -> Self {
    const MANY: f64 = 100.0;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bad = (MANY * part) as u32;
    Self { bad, of: 100 }
  }

  fn part(self) -> f64 {
    f64::from(self.bad) / f64::from(self.of.max(1))
  }

  /// Whether it exceeds another share by more than `more`, and not by chance.
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

/// The tallies but for those of the worst backend servers.
fn without_worst(tallies: &[Tally], badness: impl Fn(&Tally) -> f64) -> Vec<Tally> {
  let mut kept: Vec<Tally> = tallies.iter().filter(|tally| tally.answers > 0).copied().collect();
  kept.sort_by(|one, other| badness(one).total_cmp(&badness(other)));
  let left_out = (kept.len() / LEFT_OUT).max(usize::from(kept.len() > 1));
  kept.truncate(kept.len() - left_out);
  kept
}
