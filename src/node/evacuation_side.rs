use super::*;

/// Evacuated data halls and cold backend servers.
impl Shared {
  /// Returns the data halls that the operators evacuate.
  pub fn evacuated(&self) -> Rc<BTreeSet<DataHall>> {
    self.evacuated.borrow().clone()
  }

  /// Returns whether the operators evacuate the data hall of this box.
  pub fn is_evacuated(&self) -> bool {
    self.evacuated.borrow().contains(&self.settings.data_hall)
  }

  /// Sets the data halls that the operators evacuate. When the evacuation of this box's hall ends, its backend
  /// server counts as cold, as it had no requests meanwhile.
  pub fn set_evacuated(&self, evacuated: BTreeSet<DataHall>) {
    let names: Vec<&str> = evacuated.iter().map(DataHall::as_str).collect();
    info!(self.log.logger, "the evacuated data halls changed"; "evacuated" => names.join(" "));
    let was_evacuated = self.is_evacuated();
    *self.evacuated.borrow_mut() = Rc::new(evacuated);
    if was_evacuated && !self.is_evacuated() {
      let cold_ms = self.cold_start().map_or(0, |cold| cold.duration_ms);
      self.backend.borrow_mut().assume_cold(self.now().time, cold_ms);
    }
  }

  /// Returns the cold-start limit of this box's service; `None` if it has none.
  pub fn cold_start(&self) -> Option<ColdStart> {
    self.configuration()?.services.get(&self.own_service())?.value.cold_start
  }

  /// Returns the rate limit of the backend server while it is cold; `None` if it is not.
  pub(super) fn cold_rate(&self) -> Option<Rate> {
    let is_cold = self.backend.borrow().is_cold(self.now().time);
    self.cold_start().filter(|_| is_cold).map(|cold| cold.rate)
  }

  /// Returns the milliseconds until a cold backend server takes another request; 0 if it does now or is not cold.
  pub fn cold_wait_ms(&self) -> u64 {
    let rate = self.cold_rate();
    rate.map_or(0, |rate| self.cold_start_limiter.borrow_mut().wait_ms(self.now().time, rate))
  }

  /// Returns the load of a cold backend server in percent of its rate limit; 0 if it is not cold.
  pub(super) fn cold_load_percent(&self) -> u32 {
    let rate = self.cold_rate();
    rate.map_or(0, |rate| self.cold_start_limiter.borrow_mut().load_percent(self.now().time, rate))
  }
}
