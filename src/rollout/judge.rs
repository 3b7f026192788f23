//! Whether a new version answers worse than the one in force, by the same routes at the same time.

use super::*;

/// Added to the share of failures from which a version counts as bad. Below that a backend server or two in trouble
/// of their own make the difference.
const FAILURES_MORE: f64 = 0.08;
/// Failures on a route before any conclusion.
const FAILURES_MIN: u32 = 5;
/// The share of failures that is assumed of the version in force where it got no requests of a route.
const FAILURES_ASSUMED: f64 = 0.05;
/// Answers of the version in force from which its own share is believed.
const ANSWERS_MIN: u32 = 10;
/// Timed runs of the new version on a route before any conclusion.
const TIMED_MIN: u32 = 8;
/// How many times slower a version must be to count as bad: more than a full, or a slower, machine makes of the
/// same software.
const SLOWER: f64 = 2.5;
/// How many times slower it must be for certain.
const SLOWER_CERTAINLY: f64 = 1.5;
/// The standard deviation of the logarithm of a time that is assumed: backend servers of different speeds, and
/// requests whose work spreads by factors.
const LOG_DEVIATION: f64 = 1.0;
/// Standard errors by which a difference must exceed chance. Several routes are looked at several times a second.
const ERRORS: f64 = 3.5;
/// One backend server in so many is left out of the new version's account, the worst ones: their trouble may be
/// their own, a version's shows on all.
const LEFT_OUT: usize = 5;

/// Why a version is bad, from what boxes of the version in force and of the new one saw; nothing where it is not
/// known to be.
pub(super) fn judge(
  base: &[BTreeMap<RouteName, Tally>],
  target: &[BTreeMap<RouteName, Tally>],
) -> Option<String> {
  let routes: BTreeSet<&RouteName> = target.iter().flat_map(BTreeMap::keys).collect();
  routes.into_iter().find_map(|route| judge_route(route, base, target))
}

fn judge_route(
  route: &RouteName,
  base: &[BTreeMap<RouteName, Tally>],
  target: &[BTreeMap<RouteName, Tally>],
) -> Option<String> {
  let of = |boxes: &[BTreeMap<RouteName, Tally>]| -> Vec<Tally> {
    boxes.iter().filter_map(|tallies| tallies.get(route)).copied().collect()
  };
  let (old, new) = (sum(&of(base)), of(target));
  fails_more(&old, &new)
    .or_else(|| is_slower(&old, &new))
    .map(|difference| format!("route {route}: {difference}"))
}

fn fails_more(old: &Tally, new: &[Tally]) -> Option<String> {
  let new = sum(&without_worst(new, Tally::failure_share));
  if new.failures < FAILURES_MIN {
    return None;
  }
  let is_known = old.answers >= ANSWERS_MIN;
  let usual = if is_known { old.failure_share() } else { FAILURES_ASSUMED };
  let share = new.failure_share();
  let (answers, old_answers) = (f64::from(new.answers), f64::from(old.answers));
  let pooled = if is_known {
    (f64::from(old.failures) + f64::from(new.failures)) / (old_answers + answers)
  } else {
    share
  };
  let known_part = if is_known { 1.0 / old_answers } else { 0.0 };
  let error = (pooled * (1.0 - pooled) * (1.0 / answers + known_part)).sqrt();
  let is_worse = share - usual > FAILURES_MORE && share - usual > ERRORS * error;
  is_worse.then(|| {
    let (failures, answers) = (new.failures, new.answers);
    format!("{failures} of {answers} answers failed, against a share of {usual:.3} before")
  })
}

fn is_slower(old: &Tally, new: &[Tally]) -> Option<String> {
  let by_time = |tally: &Tally| tally.mean_log().unwrap_or_default();
  let new = sum(&without_worst(new, by_time));
  if new.timed < TIMED_MIN || old.timed < TIMED_MIN {
    return None;
  }
  let more = new.mean_log()? - old.mean_log()?;
  let error = LOG_DEVIATION * (1.0 / f64::from(new.timed) + 1.0 / f64::from(old.timed)).sqrt();
  let is_worse = more > SLOWER.ln() && more - SLOWER_CERTAINLY.ln() > ERRORS * error;
  is_worse.then(|| format!("{} answers took {:.1} times as long", new.timed, more.exp()))
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
  kept.truncate(kept.len() - kept.len() / LEFT_OUT);
  kept
}
