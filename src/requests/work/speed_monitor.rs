use super::*;

/// How fast the backend server beside this daemon works.
///
/// Its slowdown has two parts. That of this moment is told by the backend server with its answers.
/// The lasting one is learned from how much longer its runs take than their estimates and the told
/// figures say, so that it also corrects a figure that is wrong for long.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedMonitor {
  /// Natural logarithm of the lasting slowdown.
  lasting_ln: f64,
  /// Weight of the runs seen.
  seen: f64,
  told: Option<(Slowdown, Time)>,
}

impl SpeedMonitor {
  /// Runs without a slowdown that are assumed before the first one.
  const ASSUMED_RUNS: f64 = 8.0;
  /// Most that a single run can differ from what was expected, as a natural logarithm.
  const DISTANCE_MAX: f64 = 1.5;
  /// Most that the lasting slowdown can differ from none, as a natural logarithm: a factor of 20.
  const LASTING_MAX: f64 = 3.0;
  /// Runs that the lasting slowdown covers, on routes whose runs vary little.
  const RUNS_MAX: f64 = 60.0;
  /// Spread above which a run counts less, as it varies without any change of speed.
  const SPREAD_SURE_PERCENT: u32 = 30;
  /// Milliseconds after which a told figure no longer counts.
  const TOLD_MAX_AGE_MS: u64 = 1_000;

  /// Records the slowdown that an answer of the backend server tells, if it does.
  pub fn told(&mut self, now: Time, slowdown: Option<Slowdown>) {
    self.told = slowdown.map(|slowdown| (slowdown, now)).or(self.told);
  }

  /// Returns the told slowdown, or none if that is out of date.
  pub fn moment(&self, now: Time) -> Slowdown {
    let fresh = self.told.filter(|(_, at)| now.since_ms(*at) <= Self::TOLD_MAX_AGE_MS);
    fresh.map_or(Slowdown::NONE, |(slowdown, _)| slowdown)
  }

  /// Records a successful run, after the figure told by its answer. `before` is what
  /// [`SpeedMonitor::moment`] returned as the run began. Returns the run's work: the microseconds
  /// that it would have taken at the usual backend server. `None` if the backend server never told
  /// its slowdown.
  pub fn record_run(
    &mut self,
    now: Time,
    took_us: u64,
    before: Slowdown,
    estimate: Option<RunEstimate>,
  ) -> Option<u64> {
    self.told?;
    // The figure may have changed during the run.
    let moment_ln = f64::midpoint(before.ln(), self.moment(now).ln());
    let work_us = Slowdown::from_ln(self.lasting_ln + moment_ln).remove(took_us);
    if let Some(estimate) = estimate {
      self.learn(took_us, moment_ln, estimate);
    }
    Some(work_us)
  }

  #[allow(clippy::cast_precision_loss)]
  fn learn(&mut self, took_us: u64, moment_ln: f64, estimate: RunEstimate) {
    let beyond = (took_us.max(1) as f64 / estimate.usual_us.max(1) as f64).ln() - moment_ln;
    let distance = (beyond - self.lasting_ln).clamp(-Self::DISTANCE_MAX, Self::DISTANCE_MAX);
    let sureness = f64::from(Self::SPREAD_SURE_PERCENT) / f64::from(estimate.spread_percent.max(1));
    let sureness = sureness.min(1.0).powi(2);
    self.seen = (self.seen + sureness).min(Self::RUNS_MAX);
    self.lasting_ln += sureness / (self.seen + Self::ASSUMED_RUNS) * distance;
    // Work is learned from slowdowns, and slowdowns from work. A small pull towards no slowdown
    // keeps both from drifting.
    self.lasting_ln -= sureness * self.lasting_ln / (Self::RUNS_MAX * Self::RUNS_MAX);
    self.lasting_ln = self.lasting_ln.clamp(-Self::LASTING_MAX, Self::LASTING_MAX);
  }

  /// Returns the slowdown now.
  pub fn slowdown(&self, now: Time) -> Slowdown {
    Slowdown::from_ln(self.lasting_ln + self.moment(now).ln())
  }

  /// Returns the lasting part of the slowdown.
  pub fn lasting(&self) -> Slowdown {
    Slowdown::from_ln(self.lasting_ln)
  }

  /// Returns the slowdown to tell other boxes; `None` while nothing is known.
  pub fn known_slowdown(&self, now: Time) -> Option<Slowdown> {
    let is_told = self.told.is_some_and(|(_, at)| now.since_ms(at) <= Self::TOLD_MAX_AGE_MS);
    (is_told || self.seen > 0.0).then(|| self.slowdown(now))
  }

  /// Discards all observations, as another process now runs at the backend server's address.
  pub fn reset(&mut self) {
    *self = Self::default();
  }
}
