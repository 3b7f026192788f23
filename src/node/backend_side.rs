use super::*;

/// State of the backend server beside the daemon.
impl Shared {
  /// Wakes a waiting request that got its slot.
  pub fn admit(&self, ticket: Ticket) {
    if let Some(admit) = self.waiters.borrow_mut().remove(&ticket) {
      admit.send(()).ok();
    }
  }

  /// Returns whether the backend server takes requests. Always ready if it does not report its state
  /// itself: then its health endpoint decides the announced state, which other daemons follow.
  pub fn backend_state(&self) -> BackendState {
    if self.settings.deployment.is_none() {
      return BackendState::Ready;
    }
    self.backend.borrow().state()
  }

  /// Records that the run of a request at the backend server ended.
  pub fn run_ended(self: &Rc<Self>, run: RunId, fingerprint: Fingerprint, end: RunEnd) {
    if end == RunEnd::Completed && self.quarantine.borrow().is_suspect(fingerprint) {
      self.record_survivor(fingerprint);
    }
    let must_check = self.crash_detector.borrow_mut().end(self.now().time, run, end);
    if must_check && self.backend_state() != BackendState::Leaving {
      monoio::spawn(check_backend(self.clone()));
    }
  }

  /// Releases a quarantined request at an operator's request.
  pub fn allow_request(&self, fingerprint: Fingerprint) {
    info!(
      self.log.logger, "an operator allows a request"; "fingerprint" => %fingerprint
    );
    self.record_survivor(fingerprint);
  }

  /// Records that a suspected request ran to its end. Successive ones are reported together.
  fn record_survivor(&self, fingerprint: Fingerprint) {
    let mut outcomes = self.run_outcomes.borrow_mut();
    match outcomes.last_mut() {
      Some(RunOutcome::Survived(survivors)) if survivors.contains(&fingerprint) => {}
      Some(RunOutcome::Survived(survivors)) => survivors.push(fingerprint),
      _ => outcomes.push(RunOutcome::Survived(vec![fingerprint])),
    }
  }

  /// Records that the backend server's process ended unannounced. The requests that it ran are suspects.
  pub fn backend_crashed(&self, how: &str) {
    let Some(suspects) = self.crash_detector.borrow_mut().crashed(self.now().time) else {
      return;
    };
    if suspects.is_empty() {
      return self.backend_crashed_idle(how);
    }
    self.metrics.backend_crashes.inc();
    let fingerprints: Vec<String> = suspects.iter().map(ToString::to_string).collect();
    let instance = self.backend.borrow().process().map(ToString::to_string);
    warn!(
      self.log.logger, "the backend server ended while it ran requests";
      "fingerprints" => fingerprints.join(" "), "noticed" => how, "instance" => instance.unwrap_or_default()
    );
    self.run_outcomes.borrow_mut().push(RunOutcome::Crashed(suspects));
  }

  /// Reports that the process ended unannounced without a request: evidence of another cause for the crashes of
  /// others at that time.
  fn backend_crashed_idle(&self, how: &str) {
    let instance = self.backend.borrow().process().map(ToString::to_string);
    info!(
      self.log.logger, "the backend server ended while it ran no request";
      "noticed" => how, "instance" => instance.unwrap_or_default()
    );
    self.run_outcomes.borrow_mut().push(RunOutcome::Crashed(Vec::new()));
  }

  /// Takes the outcomes of runs that are not reported to the fleet yet.
  pub(super) fn take_run_outcomes(&self) -> Vec<RunOutcome> {
    self.run_outcomes.take()
  }

  /// Records that the backend server's process is not at its address any more.
  pub fn backend_unreachable(&self, reason: &str) {
    let before = self.backend_state();
    if before != BackendState::Leaving {
      self.backend_crashed(reason);
    }
    self.backend.borrow_mut().became_unreachable();
    if self.backend_state() != before {
      warn!(self.log.logger, "the backend server is unreachable"; "reason" => reason);
    }
  }

  /// Returns the service whose requests the backend server may run: the one that its process reported, or else that of
  /// the settings.
  pub fn own_service(&self) -> ServiceName {
    let reported = self.backend.borrow().service().cloned();
    reported.unwrap_or_else(|| self.service.borrow().clone())
  }

  /// Returns the service of this box: that of the process at the backend server's address now, as far as known.
  /// Requests that begin on the box come from it.
  pub fn present_service(&self) -> ServiceName {
    let reported = self.backend.borrow().present_service().cloned();
    reported.unwrap_or_else(|| self.service.borrow().clone())
  }

  /// Records a successful run at the backend server. Returns its work in microseconds at the usual backend server
  /// of its service, where that can be told.
  pub fn record_run(
    &self,
    took: Duration,
    speed_before: Slowdown,
    estimate: Option<RunEstimate>,
  ) -> Option<u64> {
    let now = self.now().time;
    if self.backend.borrow().is_cold(now) {
      return None;
    }
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let mut speed = self.speed.borrow_mut();
    let work_us = speed.record_run(now, took_us, speed_before, estimate);
    self.metrics.backend_slowdown_percent.set(i64::from(speed.slowdown(now).percent()));
    work_us
  }

  /// Returns the expected wait for a slot of a request that arrives now, in milliseconds.
  pub fn expected_wait_ms(&self) -> u64 {
    self.limiter.borrow().expected_wait_ms(self.now().time)
  }

  /// Returns the numbers of requests that run at the backend server and that wait for it.
  pub fn load(&self) -> (usize, usize) {
    let limiter = self.limiter.borrow();
    (limiter.running(), limiter.waiting())
  }

  /// Returns the backend server's failure rate, service time and load, for other daemons.
  pub fn condition(&self) -> Condition {
    let monitor = self.monitor.borrow();
    Condition {
      failures_permille: monitor.failures_permille(),
      link_wait_ms: self.link_wait_ms(),
      load_percent: self.load_percent(),
      service_us: monitor.service_us(),
      slot_load: self.slot_load(),
      slowdown: self.speed.borrow().known_slowdown(self.now().time),
    }
  }

  /// Returns the same for the daemon beside the backend server, without the load of the network link,
  /// which local requests do not use.
  pub fn own_condition(&self) -> Condition {
    Condition { link_wait_ms: 0, load_percent: self.backend_load_percent(), ..self.condition() }
  }

  /// Returns how many of the backend server's slots are taken.
  fn slot_load(&self) -> SlotLoad {
    if self.cold_rate().is_some() {
      return SlotLoad::Cold;
    }
    SlotLoad::Percent(self.limiter.borrow().load_percent(self.now().time))
  }

  /// Returns the backend server's load in percent of its slots, or of its rate while it is cold or names a limit.
  fn backend_load_percent(&self) -> u32 {
    let load_percent = self.limiter.borrow().load_percent(self.now().time);
    load_percent.max(self.cold_load_percent())
  }

  /// Counts bytes received over the box's network link other than large bodies.
  pub fn note_inbound(&self, bytes: u64) {
    if let Some(link) = self.link_budget.borrow_mut().as_mut() {
      link.note(self.now().time, bytes);
    }
  }

  /// Counts bytes sent over the box's network link other than large answers.
  pub fn count_outbound(&self, bytes: u64) {
    if let Some(link) = self.outbound_link.borrow_mut().as_mut() {
      link.schedule.count_small(self.now().time, bytes);
    }
  }

  /// Shows in the metrics what the box's network link owes.
  pub fn show_outbound(&self) {
    if let Some(link) = self.outbound_link.borrow().as_ref() {
      self.metrics.outbound.show(link.schedule.counts(), link.schedule.owed_ms(self.now().time));
    }
  }

  /// Tells the answer budget what the box's network link owes.
  pub fn note_owed(&self) {
    let (now, link) = (self.now().time, self.outbound_link.borrow());
    if let (Some(link), Some(answers)) = (link.as_ref(), self.answer_budget.borrow_mut().as_mut()) {
      answers.note_owed(now, link.schedule.owed_ms(now));
    }
  }

  /// Returns the milliseconds that a large answer to another box waits for the network link. Small
  /// ones do not wait.
  pub fn link_wait_ms(&self) -> u64 {
    self.note_owed();
    let answers = self.answer_budget.borrow();
    answers.as_ref().map_or(0, |answers| answers.wait_ms(self.now().time))
  }

  /// Returns the box's load in percent: the higher of its backend server's and of its network link's by
  /// bodies that it receives.
  pub fn load_percent(&self) -> u32 {
    let now = self.now().time;
    let in_percent = self.link_budget.borrow().as_ref().map_or(0, |link| link.load_percent(now));
    self.backend_load_percent().max(in_percent)
  }

  /// Returns whether the daemon passes no new requests to its backend server.
  pub fn takes_no_work(&self) -> bool {
    self.refuses_work.get()
  }

  /// Stops passing new requests to the backend server.
  pub fn refuse_work(&self) {
    self.refuses_work.set(true);
  }
}

/// Checks whether the backend server's address still accepts connections, after one to it broke.
async fn check_backend(shared: Rc<Shared>) {
  let connecting = shared.backend_pool.connect(shared.settings.backend_server.address).await;
  if let Err(web::Error::Unreachable { refused: true, .. }) = connecting {
    shared.backend_unreachable("its address refuses connections");
  }
}
