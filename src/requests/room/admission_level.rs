use super::*;

/// The share of a service's demand that this box admits.
///
/// In each window it falls in proportion to the overload that answers and refusals show, or rises
/// slowly without overload. Each box adapts its own level: all of them hear of the same backend
/// servers, so the levels agree without messages.
#[derive(Clone, Debug)]
pub(super) struct AdmissionLevel {
  /// Tried requests that ended in the window.
  ended: u32,
  /// Sum over the window's reports of waiting requests as a share of the slots.
  excess: f64,
  /// Those of them that found no room.
  refused: u32,
  /// Reports in the window.
  reports: u32,
  /// From [`Self::SHARE_MIN`] to 1.
  share: f64,
  window_start: Time,
}

impl AdmissionLevel {
  /// The queue that the level aims at, in waiting requests per slot. A request behind one for each
  /// slot waits for about one run, and is still in time where a run takes less than half of the
  /// target.
  const EXCESS_AIM: f64 = 1.0;
  /// The part of the overload by which the level falls in one window. Answers show the effect of a
  /// change only after about a run, which is longer than a window.
  const GAIN: f64 = 0.15;
  /// Share of requests refused after tries up to which there is no overload: some had too little
  /// time left for any queue.
  const REFUSED_AIM: f64 = 0.05;
  /// Weight of the share of requests refused after tries, against that of the queue.
  const REFUSED_WEIGHT: f64 = 0.5;
  /// Largest fall in one window.
  const FALL_MAX: f64 = 0.1;
  /// Largest rise in one window.
  const RISE_MAX: f64 = 0.03;
  /// Fewest reports that close a window before [`Self::WINDOW_MAX_MS`].
  const REPORTS_MIN: u32 = 4;
  /// The lowest level, below which every kind of request is at its floor.
  const SHARE_MIN: f64 = DemandMix::TRY_FLOOR_MIN;
  /// Shortest window in milliseconds.
  const WINDOW_MIN_MS: u64 = 250;
  /// Longest window in milliseconds, at a box that takes few requests.
  const WINDOW_MAX_MS: u64 = 1_000;

  pub fn new(now: Time) -> Self {
    Self { ended: 0, excess: 0.0, refused: 0, reports: 0, share: 1.0, window_start: now }
  }

  /// Returns the admitted share of the demand.
  pub fn share(&self) -> f64 {
    self.share
  }

  /// Adds the load that a backend server reported, in percent of its slots.
  pub fn add_report(&mut self, load_percent: u32) {
    self.excess += f64::from(load_percent.saturating_sub(100)) / 100.0;
    self.reports += 1;
  }

  /// Adds a request that ended, and whether it found no room.
  pub fn add_ended(&mut self, is_refused: bool) {
    self.ended += 1;
    self.refused += u32::from(is_refused);
  }

  /// Returns the admitted share of the demand in percent.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn percent(&self) -> u32 {
    (self.share * 100.0).round() as u32
  }

  /// Adapts the level once the window is long enough. Returns the level before and after; `None`
  /// while the window goes on.
  pub fn close_window(&mut self, now: Time) -> Option<LevelChange> {
    let age_ms = now.since_ms(self.window_start);
    let is_complete = self.reports >= Self::REPORTS_MIN && age_ms >= Self::WINDOW_MIN_MS;
    if !is_complete && age_ms < Self::WINDOW_MAX_MS {
      return None;
    }
    let fall = (Self::GAIN * self.overload()).clamp(-Self::RISE_MAX, Self::FALL_MAX);
    // A window lasts longer only while no requests come, and then there is no overload.
    #[allow(clippy::cast_precision_loss)]
    let quiet_windows = (age_ms / Self::WINDOW_MAX_MS).saturating_sub(1) as f64;
    let rise = (1.0 + Self::RISE_MAX).powf(quiet_windows);
    let share = (self.share * (1.0 - fall) * rise).clamp(Self::SHARE_MIN, 1.0);
    let closed = std::mem::replace(self, Self { share, ..Self::new(now) });
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let excess_percent = (closed.mean_excess() * 100.0).round() as u32;
    Some(LevelChange {
      after_percent: self.percent(),
      before_percent: closed.percent(),
      ended: closed.ended,
      excess_percent,
      refused: closed.refused,
      reports: closed.reports,
    })
  }

  fn mean_excess(&self) -> f64 {
    self.excess / f64::from(self.reports.max(1))
  }

  /// Returns by how much the demand of the window exceeds the room, as a share; negative where
  /// there was room.
  fn overload(&self) -> f64 {
    let refused = f64::from(self.refused) / f64::from(self.ended.max(1));
    let queued = self.mean_excess() - Self::EXCESS_AIM;
    if refused <= Self::REFUSED_AIM {
      return queued;
    }
    queued.max(0.0) + refused * Self::REFUSED_WEIGHT
  }
}
