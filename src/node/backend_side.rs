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

  /// The run of a request at the backend server ended.
  pub fn run_ended(self: &Rc<Self>, run: RunId, fingerprint: Fingerprint, end: RunEnd) {
    if end == RunEnd::Completed && self.quarantine.borrow().is_suspect(fingerprint) {
      self.note_survivor(fingerprint);
    }
    let is_to_look = self.crash_detector.borrow_mut().end(self.now().time, run, end);
    if is_to_look && self.backend_state() != BackendState::Leaving {
      monoio::spawn(look_for_backend(self.clone()));
    }
  }

  /// An operator lets a request run again that is held back.
  pub fn allow_request(&self, fingerprint: Fingerprint) {
    info!(
      self.log.logger, "an operator allows a request"; "fingerprint" => %fingerprint
    );
    self.note_survivor(fingerprint);
  }

  /// A request ran to its end under which a process had ended. Those of one moment are told together.
  fn note_survivor(&self, fingerprint: Fingerprint) {
    let mut outcomes = self.run_outcomes.borrow_mut();
    match outcomes.last_mut() {
      Some(RunOutcome::Survived(survivors)) if survivors.contains(&fingerprint) => {}
      Some(RunOutcome::Survived(survivors)) => survivors.push(fingerprint),
      _ => outcomes.push(RunOutcome::Survived(vec![fingerprint])),
    }
  }

  /// The process of the backend server has ended without a word: what it ran may be the cause.
  pub fn backend_crashed(&self, how: &str) {
    let suspects = self.crash_detector.borrow_mut().crashed(self.now().time);
    if suspects.is_empty() {
      return;
    }
    self.metrics.backend_crashes.inc();
    let told: Vec<String> = suspects.iter().map(ToString::to_string).collect();
    let instance = self.backend.borrow().process().map(ToString::to_string);
    warn!(
      self.log.logger, "the backend server ended while it ran requests";
      "fingerprints" => told.join(" "), "noticed" => how, "instance" => instance.unwrap_or_default()
    );
    self.run_outcomes.borrow_mut().push(RunOutcome::Crashed(suspects));
  }

  /// What the fleet is to be told of runs at the backend server.
  pub(super) fn take_run_outcomes(&self) -> Vec<RunOutcome> {
    self.run_outcomes.take()
  }

  /// The backend server is not where it was.
  pub fn backend_vanished(&self, reason: &str) {
    let before = self.backend_state();
    if before != BackendState::Leaving {
      self.backend_crashed(reason);
    }
    self.backend.borrow_mut().became_unreachable();
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

  /// How the backend server does, for the daemon beside it: what goes there crosses no link.
  pub fn own_condition(&self) -> Condition {
    Condition { load_percent: self.backend_load_percent(), ..self.condition() }
  }

  /// How much the backend server has to do, in percent of its slots, or of what it takes while it is cold.
  fn backend_load_percent(&self) -> u32 {
    self.limiter.borrow().load_percent().max(self.cold_load_percent())
  }

  /// Bytes came over the box's network link that are no large body.
  pub fn note_inbound(&self, bytes: u64) {
    if let Some(link) = self.link_budget.borrow_mut().as_mut() {
      link.note(self.now().time, bytes);
    }
  }

  /// How much the box has to do, in percent: of the backend server's slots, or of its link.
  pub fn load_percent(&self) -> u32 {
    let now = self.now().time;
    let (link, answers) = (self.link_budget.borrow(), self.answer_budget.borrow());
    let in_percent = link.as_ref().map_or(0, |link| link.load_percent(now));
    let out_percent = answers.as_ref().map_or(0, |answers| answers.load_percent(now));
    let own_percent = self.backend_load_percent();
    own_percent.max(in_percent).max(out_percent)
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

/// Looks whether anybody listens at the backend server's address, after a connection to it broke.
async fn look_for_backend(shared: Rc<Shared>) {
  let connecting = shared.backend_pool.connect(shared.settings.backend_server.address).await;
  if let Err(web::Error::Unreachable { refused: true, .. }) = connecting {
    shared.backend_vanished("its address refuses connections");
  }
}
