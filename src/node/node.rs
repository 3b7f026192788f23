use super::*;

/// A daemon without its servers: what they work on.
pub struct Node {
  /// What the daemon does for distribution.
  pub distribution: Rc<DistributionLoop>,
  /// What its parts share.
  pub shared: Rc<Shared>,
}

impl Node {
  /// How far ahead of this box's clock the clock of a backend server may be, in milliseconds: clocks may jump
  /// by seconds. A process cannot have started later.
  const BORN_AHEAD_MAX_MS: u64 = 60_000;

  /// The backend server reported, or somebody in its name.
  pub fn backend_reported(&self, report: &BackendReport) -> ReportOutcome {
    let now = self.shared.now().time;
    let heard = match self.why_foreign(report) {
      Some(reason) => ReportOutcome::Rejected(reason),
      None => {
        self.change_backend(&report.process, report.sequence, |record| record.reported(now, report))
      }
    };
    let told = match heard {
      ReportOutcome::Rejected(reason) => reason,
      ReportOutcome::Stale => "it is late",
      ReportOutcome::Accepted => return heard,
    };
    debug!(
      self.shared.log.logger, "a report of a backend server was passed over";
      "reason" => told, "sequence" => report.sequence, "instance" => %report.process
    );
    heard
  }

  /// Why a report cannot be one of this box's backend server.
  fn why_foreign(&self, report: &BackendReport) -> Option<&'static str> {
    let latest = self.shared.now().unix_ms.saturating_add(Self::BORN_AHEAD_MAX_MS);
    if report.process.started_at.is_some_and(|born| born.0 > latest) {
      return Some("its process has not started yet");
    }
    let service = &report.service;
    let held = self.shared.configuration();
    let is_known = held.is_some_and(|held| held.services.contains_key(service))
      || *service == self.shared.own_service()
      || *service == self.shared.settings.service;
    (!is_known).then_some("no configuration names its service")
  }

  /// A process of the backend server said that it goes.
  pub fn backend_deregistered(&self, process: &Process) {
    self.change_backend(process, 0, |record| record.deregistered(process));
  }

  /// The health endpoint answered for a process.
  pub fn backend_probed(&self, id: &InstanceId, cold_ms: Option<u64>) {
    let now = self.shared.now().time;
    let process = Process { started_at: None, id: id.clone() };
    self.change_backend(&process, 0, |record| record.health_checked(now, id, cold_ms));
  }

  /// Changes what is known of the backend server, and tells the fleet and the log what came of it.
  fn change_backend<T>(
    &self,
    process: &Process,
    sequence: u64,
    change: impl FnOnce(&mut BackendRecord) -> T,
  ) -> T {
    let shared = &self.shared;
    let (before, starts) = (shared.backend_state(), shared.backend.borrow().starts());
    let outcome = change(&mut shared.backend.borrow_mut());
    if shared.backend.borrow().starts() != starts {
      if before == BackendState::Leaving {
        shared.crash_detector.borrow_mut().record_planned_exit();
      } else {
        shared.backend_crashed("another process runs in its place");
      }
      self.forget_former_process();
    }
    self.take_over_slots();
    self.announce_backend(before, process, sequence);
    outcome
  }

  /// Another process runs now: what was learned of the one before it, and connections to it, say nothing.
  fn forget_former_process(&self) {
    let shared = &self.shared;
    shared.monitor.borrow_mut().reset();
    shared.observer.borrow_mut().forget();
    shared.backend_pool.close_idle();
    let running = shared.backend.borrow().process().map(ToString::to_string);
    info!(
      shared.log.logger, "another process of the backend server runs now";
      "instance" => running.unwrap_or_default()
    );
  }

  /// Brings the limiter, and the fleet, to what the backend server reported.
  fn take_over_slots(&self) {
    let shared = &self.shared;
    let reported = {
      let record = shared.backend.borrow();
      let software = record.software().cloned();
      record.slots().zip(record.service().cloned()).zip(Some((record.starts(), software)))
    };
    let Some(((slots, service), (starts, software))) = reported else {
      return;
    };
    let admitted = shared.limiter.borrow_mut().set_slots(shared.now().time, slots as usize);
    for ticket in admitted {
      shared.admit(ticket);
    }
    self.distribution.handle(Event::EndpointServes { service, slots, software, starts });
  }

  /// Tells the fleet, and the log, what the backend server can do from now on.
  fn announce_backend(&self, before: BackendState, process: &Process, sequence: u64) {
    let shared = &self.shared;
    let state = shared.backend_state();
    if state != before {
      info!(
        shared.log.logger, "the backend server changed its state";
        "instance" => %process, "sequence" => sequence,
        "before" => ?before, "state" => ?state,
        "software" => shared.backend.borrow().software().map_or("none".into(), ToString::to_string)
      );
    }
    if shared.is_stopping() {
      return;
    }
    let announced =
      if state == BackendState::Ready { EndpointState::Live } else { EndpointState::Draining };
    self.distribution.handle(Event::EndpointState(announced));
  }
}
