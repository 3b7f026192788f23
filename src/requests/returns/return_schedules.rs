use super::*;

/// Plans the returns of refused callers by service. Services that were not configured are ignored.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedules {
  services: BTreeMap<ServiceName, ReturnSchedule>,
}

impl ReturnSchedules {
  /// Keeps a schedule for these services and no others.
  pub fn configure<'a>(&mut self, now: Time, services: impl Iterator<Item = &'a ServiceName>) {
    let mut known = std::mem::take(&mut self.services);
    for service in services {
      let schedule = known.remove(service).unwrap_or_else(|| ReturnSchedule::new(now));
      self.services.insert(service.clone(), schedule);
    }
  }

  /// Records a caller's first try, of `work_us` microseconds.
  pub fn note_first_try(&mut self, now: Time, service: &ServiceName, priority: u32, work_us: u64) {
    if let Some(schedule) = self.services.get_mut(service) {
      schedule.note_first_try(now, priority, work_us);
    }
  }

  /// Records work that a service did for this box.
  pub fn note_served(&mut self, now: Time, service: &ServiceName, work_us: u64) {
    if let Some(schedule) = self.services.get_mut(service) {
      schedule.note_served(now, work_us);
    }
  }

  /// Returns when a caller should come back, and keeps the room for it; `None` for a service
  /// without a schedule, and while its room is unknown. `at`, from 0 to 1, spreads callers within a
  /// bucket.
  pub fn plan(
    &mut self,
    now: Time,
    service: &ServiceName,
    caller: &RefusedCaller,
    at: f64,
  ) -> Option<ReturnPlan> {
    self.services.get_mut(service)?.plan(now, caller, at)
  }
}
