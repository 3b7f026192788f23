use super::*;

/// What the parts of a daemon share about the backend server beside it.
impl Shared {
  /// Gives a waiting request its slot.
  pub fn admit(&self, ticket: Ticket) {
    if let Some(admit) = self.waiting.borrow_mut().remove(&ticket) {
      admit.send(()).ok();
    }
  }

  /// Whether the backend server takes work. Where it does not report by itself, its health endpoint
  /// decides, and the announced state keeps others away.
  pub fn backend_state(&self) -> BackendState {
    if self.settings.deployment.is_none() {
      return BackendState::Ready;
    }
    self.backend.borrow().state()
  }

  /// The backend server is not where it was.
  pub fn backend_vanished(&self, reason: &str) {
    let before = self.backend_state();
    self.backend.borrow_mut().vanished();
    if self.backend_state() != before {
      warn!(self.log.logger, "the backend server is not known to be up"; "reason" => reason);
    }
  }

  /// The service that the backend server of this box serves.
  pub fn own_service(&self) -> ServiceName {
    let reported = self.backend.borrow().service().cloned();
    reported.unwrap_or_else(|| self.settings.service.clone())
  }

  /// Milliseconds until a request that arrives now would have a slot.
  pub fn expected_wait_ms(&self) -> u64 {
    self.limiter.borrow().expected_wait_ms()
  }

  /// Requests running and waiting at the backend server.
  pub fn load(&self) -> (usize, usize) {
    let limiter = self.limiter.borrow();
    (limiter.running(), limiter.waiting())
  }

  /// How the backend server does, for the daemons that send it requests.
  pub fn condition(&self) -> Condition {
    let monitor = self.monitor.borrow();
    Condition {
      failures_permille: monitor.failures_permille(),
      load_percent: self.load_percent(),
      service_us: monitor.service_us(),
    }
  }

  /// How much the box has to do, in percent: of the backend server's slots, or of its link.
  pub fn load_percent(&self) -> u32 {
    let link = self.link_budget.borrow();
    let link_percent = link.as_ref().map_or(0, |link| link.load_percent(self.now().time));
    self.limiter.borrow().load_percent().max(link_percent)
  }

  /// Whether the daemon hands nothing new to its backend server.
  pub fn takes_no_work(&self) -> bool {
    self.refuses_work.get()
  }

  /// From now on the daemon hands nothing new to its backend server.
  pub fn refuse_work(&self) {
    self.refuses_work.set(true);
  }
}
