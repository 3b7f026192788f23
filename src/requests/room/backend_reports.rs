use super::*;

use std::borrow::Cow;

/// The latest report of each backend server of a service, and their sums by data hall.
///
/// A box hears most of the backend servers near it, so each data hall counts by all of its slots, not
/// by the reports from it.
///
/// The work for a report or a question is in proportion to the reports that changed or went out of
/// date since the last one, not to the number of backend servers.
#[derive(Clone, Debug, Default)]
pub(super) struct BackendReports {
  by_age: BTreeSet<(Time, BoxId)>,
  /// The slots of each data hall; empty where they are unknown.
  hall_slots: BTreeMap<DataHall, u64>,
  /// At most [`Self::BACKENDS_MAX`]; each is in `by_age` and in `sums`.
  reports: BTreeMap<BoxId, BackendRoom>,
  sums: BTreeMap<DataHall, ReportSums>,
}

/// Sums over reports, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
struct ReportSums {
  /// Reports.
  count: AgedSum,
  /// Percent of slots that are free, times thousandths of slots.
  free: AgedSum,
  /// Thousandths of slots, weighted by speed.
  slots: AgedSum,
  /// Microseconds of waiting times thousandths of slots.
  wait: AgedSum,
}

/// What all reports say together.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedRoom {
  /// Mean age of the reports in milliseconds.
  pub age_ms: u64,
  /// Free slots in percent, weighted by speed.
  pub free_percent: f64,
  /// Reports, each weighted from 1 to 0 by age.
  pub reports: f64,
  /// Milliseconds until a slot is free for a request behind all that wait.
  pub wait_ms: f64,
}

impl BackendReports {
  /// Backend servers whose reports are kept.
  const BACKENDS_MAX: usize = 1_024;
  /// Least part of the slots that must be in data halls that were heard of.
  const HEARD_PART_MIN: f64 = 0.5;

  /// Sets the slots of each data hall.
  pub fn set_hall_slots(&mut self, hall_slots: BTreeMap<DataHall, u64>) {
    self.hall_slots = hall_slots;
  }

  /// Replaces the report of a backend server. Returns whether there was room for it.
  pub fn replace(&mut self, box_id: &BoxId, room: BackendRoom) -> bool {
    self.expire(room.told_at);
    self.remove(box_id);
    if self.reports.len() >= Self::BACKENDS_MAX {
      return false;
    }
    self.sums.entry(room.data_hall.clone()).or_default().add(&room);
    self.by_age.insert((room.told_at, box_id.clone()));
    self.reports.insert(box_id.clone(), room);
    true
  }

  /// Removes the report of a backend server that no longer tells of its room.
  pub fn remove(&mut self, box_id: &BoxId) {
    if let Some(room) = self.reports.remove(box_id) {
      Self::subtract(&mut self.sums, &room);
      self.by_age.remove(&(room.told_at, box_id.clone()));
    }
  }

  /// Removes reports that no longer count.
  pub fn expire(&mut self, now: Time) {
    while let Some((told_at, box_id)) = self.by_age.first() {
      if Self::counts(now, *told_at) {
        break;
      }
      let box_id = box_id.clone();
      self.remove(&box_id);
    }
  }

  /// Returns the report of a backend server; `None` where there is none that counts.
  pub fn of(&self, now: Time, box_id: &BoxId) -> Option<&BackendRoom> {
    self.reports.get(box_id).filter(|room| Self::counts(now, room.told_at))
  }

  /// Returns what the reports say together; `None` where too few data halls were heard of.
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  pub fn together(&self, now: Time) -> Option<ReportedRoom> {
    let sums = self.current_sums(now);
    let (mut all, mut free, mut wait, mut reports, mut unweighted) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for (data_hall, sums) in sums.iter() {
      let slots = sums.slots.at(now);
      let weight = if self.hall_slots.is_empty() {
        slots
      } else {
        self.hall_slots.get(data_hall).copied().unwrap_or_default() as f64
      };
      if slots > 0.0 {
        all += weight;
        free += weight * sums.free.at(now) / slots;
        wait += weight * sums.wait.at(now) / slots;
        reports += sums.count.at(now);
        unweighted += sums.count.unweighted();
      }
    }
    let slots: u64 = self.hall_slots.values().sum();
    if all <= 0.0 || all < slots as f64 * Self::HEARD_PART_MIN {
      return None;
    }
    Some(ReportedRoom {
      age_ms: ((1.0 - reports / unweighted) * BackendRoom::AGE_MAX_MS as f64) as u64,
      free_percent: free / all,
      reports,
      wait_ms: wait / all / 1_000.0,
    })
  }

  /// Returns the sums without reports that no longer count.
  fn current_sums(&self, now: Time) -> Cow<'_, BTreeMap<DataHall, ReportSums>> {
    let mut sums = Cow::Borrowed(&self.sums);
    let expired = self.by_age.iter().take_while(|(told_at, _)| !Self::counts(now, *told_at));
    for (_, box_id) in expired {
      Self::subtract(sums.to_mut(), &self.reports[box_id]);
    }
    sums
  }

  fn subtract(sums: &mut BTreeMap<DataHall, ReportSums>, room: &BackendRoom) {
    if let Some(of_hall) = sums.get_mut(&room.data_hall) {
      of_hall.remove(room);
      if of_hall.count.is_empty() {
        sums.remove(&room.data_hall);
      }
    }
  }

  fn counts(now: Time, told_at: Time) -> bool {
    now.since_ms(told_at) < BackendRoom::AGE_MAX_MS
  }
}

impl ReportSums {
  fn add(&mut self, room: &BackendRoom) {
    for (sum, value) in self.values(room) {
      sum.add(value, room.told_at);
    }
  }

  fn remove(&mut self, room: &BackendRoom) {
    for (sum, value) in self.values(room) {
      sum.remove(value, room.told_at);
    }
  }

  /// Returns each sum with what a report adds to it.
  fn values(&mut self, room: &BackendRoom) -> [(&mut AgedSum, u64); 4] {
    let slots = room.speed_slots_thousandths;
    [
      (&mut self.count, 1),
      (&mut self.free, slots * u64::from(room.free_percent())),
      (&mut self.slots, slots),
      (&mut self.wait, slots.saturating_mul(room.wait_us())),
    ]
  }
}
