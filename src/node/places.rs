use super::*;

/// What the parts of a daemon share about evacuated data halls and cold backend servers.
impl Shared {
  /// The data halls that the operators evacuate.
  pub fn evacuated(&self) -> Rc<BTreeSet<DataHall>> {
    self.evacuated.borrow().clone()
  }

  /// Whether the operators evacuate the data hall of this box.
  pub fn is_evacuated(&self) -> bool {
    self.evacuated.borrow().contains(&self.settings.data_hall)
  }

  /// Takes over which data halls the operators evacuate. Where this box's is taken back, its backend server may have
  /// turned cold meanwhile.
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

  /// What a cold backend server of this box takes; nothing where that is as much as any other.
  pub fn cold_start(&self) -> Option<ColdStart> {
    self.configuration()?.services.get(&self.own_service())?.value.cold_start
  }

  /// What the backend server takes while it is cold; nothing where it is not.
  fn cold_rate(&self) -> Option<Rate> {
    let is_cold = self.backend.borrow().is_cold(self.now().time);
    self.cold_start().filter(|_| is_cold).map(|cold| cold.rate)
  }

  /// Milliseconds until the backend server takes another request while it is cold; 0 where it does now.
  pub fn cold_wait_ms(&self) -> u64 {
    let rate = self.cold_rate();
    rate.map_or(0, |rate| self.cold_gate.borrow_mut().wait_ms(self.now().time, rate))
  }

  /// How full a cold backend server is, in percent of what it takes; 0 where it is not cold.
  pub(super) fn cold_load_percent(&self) -> u32 {
    let rate = self.cold_rate();
    rate.map_or(0, |rate| self.cold_gate.borrow_mut().load_percent(self.now().time, rate))
  }
}
