use super::*;

/// The state of a daemon that its servers work on.
pub struct Node {
  /// The distribution of configuration and endpoints.
  pub distribution: Rc<DistributionLoop>,
  /// The state that all parts share.
  pub shared: Rc<Shared>,
}

impl Node {
  /// How far the start time of a backend server's process may be ahead of this box's clock, in milliseconds, as
  /// clocks may jump by seconds. Reports with a later one are rejected.
  const START_AHEAD_MAX_MS: u64 = 60_000;

  /// Handles a report that claims to be from the backend server.
  pub fn backend_reported(&self, report: &BackendReport) -> ReportOutcome {
    let now = self.shared.now().time;
    let outcome = match self.foreign_reason(report) {
      Some(reason) => ReportOutcome::Rejected(reason),
      None => {
        self.change_backend(&report.process, report.sequence, |record| record.reported(now, report))
      }
    };
    let reason = match outcome {
      ReportOutcome::Rejected(reason) => reason,
      ReportOutcome::Stale => "it is late",
      ReportOutcome::Accepted => return outcome,
    };
    debug!(
      self.shared.log.logger, "ignored a report of a backend server";
      "reason" => reason, "sequence" => report.sequence, "instance" => %report.process
    );
    outcome
  }

  /// Returns why a report cannot be from this box's backend server, if so.
  fn foreign_reason(&self, report: &BackendReport) -> Option<&'static str> {
    let latest = self.shared.now().unix_ms.saturating_add(Self::START_AHEAD_MAX_MS);
    if report.process.started_at.is_some_and(|start| start.0 > latest) {
      return Some("its process has not started yet");
    }
    let service = &report.service;
    let configuration = self.shared.configuration();
    let is_known = configuration.is_some_and(|one| one.services.contains_key(service))
      || *service == self.shared.own_service()
      || *service == *self.shared.service.borrow();
    (!is_known).then_some("no configuration names its service")
  }

  /// Records that a process of the backend server announced its exit.
  pub fn backend_deregistered(&self, process: &Process) {
    self.change_backend(process, 0, |record| record.deregistered(process));
  }

  /// Records that a process answered at the health endpoint.
  pub fn backend_health_checked(&self, id: &InstanceId, cold_ms: Option<u64>) {
    let now = self.shared.now().time;
    let process = Process { started_at: None, id: id.clone() };
    let unreported = self.shared.backend.borrow().unreported().cloned();
    self.change_backend(&process, 0, |record| record.health_checked(now, id, cold_ms));
    let record = self.shared.backend.borrow();
    if record.unreported().is_some_and(|found| unreported.as_ref() != Some(found)) {
      info!(
        self.shared.log.logger,
        "a process started at the backend server's address: it gets no work before it reports its service";
        "instance" => %id, "service_in_settings" => %self.shared.service.borrow()
      );
    }
  }

  /// Records that the settings name another service from now on.
  pub fn service_named(&self, service: ServiceName) {
    let shared = &self.shared;
    let before = shared.service.replace(service.clone());
    if before == service {
      return;
    }
    let process = shared.backend.borrow().process().cloned();
    match process {
      Some(process) => self.change_backend(&process, 0, |record| record.service_named(&service)),
      None => shared.backend.borrow_mut().service_named(&service),
    }
    let reported = shared.backend.borrow().service().map(ToString::to_string);
    info!(
      shared.log.logger, "the settings name another service";
      "before" => %before, "service" => %service, "reported" => reported.as_deref().unwrap_or("none")
    );
    if reported.is_none() {
      self.announce_service(service);
    }
  }

  /// Announces the service of the settings to the fleet, as the backend server's process reported none.
  fn announce_service(&self, service: ServiceName) {
    let shared = &self.shared;
    shared.apply_queue_length();
    let (slots, starts) = {
      let record = shared.backend.borrow();
      (record.slots().unwrap_or(shared.settings.backend_server.slots), record.starts())
    };
    self.distribution.handle(Event::EndpointServes { service, slots, software: None, starts });
  }

  /// Changes the backend server's record, and announces and logs the resulting state.
  fn change_backend<T>(
    &self,
    process: &Process,
    sequence: u64,
    change: impl FnOnce(&mut BackendRecord) -> T,
  ) -> T {
    let shared = &self.shared;
    let (before, starts) = (shared.backend_state(), shared.backend.borrow().starts());
    let software = shared.backend.borrow().software().cloned();
    let outcome = change(&mut shared.backend.borrow_mut());
    self.log_software(software.as_ref(), sequence);
    if shared.backend.borrow().starts() != starts {
      if before == BackendState::Leaving {
        shared.crash_detector.borrow_mut().record_planned_exit();
      } else {
        shared.backend_crashed("another process runs in its place");
      }
      shared.crash_detector.borrow_mut().process_started();
      self.reset_for_new_process();
    }
    self.apply_reported_slots();
    self.announce_backend(before, process, sequence);
    outcome
  }

  /// Logs the version of the backend server's software if it changed.
  fn log_software(&self, before: Option<&SoftwareVersion>, sequence: u64) {
    let shared = &self.shared;
    let record = shared.backend.borrow();
    if record.software() == before {
      return;
    }
    let text = |software: Option<&SoftwareVersion>| {
      software.map_or("none", SoftwareVersion::as_str).to_string()
    };
    info!(
      shared.log.logger, "the backend server runs another version";
      "sequence" => sequence, "before" => text(before), "software" => text(record.software())
    );
  }

  /// Discards measurements of and connections to the former process, as another one runs now.
  fn reset_for_new_process(&self) {
    let shared = &self.shared;
    shared.monitor.borrow_mut().reset();
    shared.speed.borrow_mut().reset();
    shared.named_limit.borrow_mut().reset();
    shared.apply_named_limit();
    shared.metrics.backend_limit.set(0.0);
    shared.observer.borrow_mut().forget();
    shared.backend_pool.close_idle();
    let running = shared.backend.borrow().process().map(ToString::to_string);
    info!(
      shared.log.logger, "another process of the backend server runs now";
      "instance" => running.unwrap_or_default()
    );
  }

  /// Applies the reported slots, service and software to the limiter and announces them to the fleet.
  fn apply_reported_slots(&self) {
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
    shared.apply_queue_length();
    self.distribution.handle(Event::EndpointServes { service, slots, software, starts });
  }

  /// Announces the backend server's state to the fleet, and logs it if it changed.
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
