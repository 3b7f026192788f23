use super::*;

/// A daemon without its servers: what they work on.
pub struct Node {
  /// What the daemon does for distribution.
  pub distribution: Rc<DistributionLoop>,
  /// What its parts share.
  pub shared: Rc<Shared>,
}

impl Node {
  /// The backend server reported.
  pub fn backend_reported(&self, report: &BackendReport) {
    let shared = &self.shared;
    let now = shared.now().time;
    let before = shared.backend_state();
    let former = shared.backend.borrow().instance().cloned();
    if !shared.backend.borrow_mut().reported(now, report) {
      debug!(
        shared.log.logger, "a late report of a backend server was passed over";
        "instance" => report.instance.as_str(), "sequence" => report.sequence
      );
      return;
    }
    if former.is_some_and(|former| former != report.instance) {
      shared.monitor.borrow_mut().forget();
    }
    let admitted = shared.limiter.borrow_mut().set_slots(now, report.slots as usize);
    for ticket in admitted {
      shared.admit(ticket);
    }
    let (service, slots) = (report.service.clone(), report.slots);
    self.distribution.handle(Event::EndpointServes { service, slots });
    self.announce_backend(before, &report.instance, report.sequence);
  }

  /// The backend server said that it goes.
  pub fn backend_deregistered(&self, instance: &InstanceId) {
    let before = self.shared.backend_state();
    self.shared.backend.borrow_mut().deregistered(instance);
    self.announce_backend(before, instance, 0);
  }

  /// The health endpoint answered for a process.
  pub fn backend_probed(&self, instance: &InstanceId) {
    let before = self.shared.backend_state();
    self.shared.backend.borrow_mut().probed(instance.clone());
    self.announce_backend(before, instance, 0);
  }

  /// Tells the fleet, and the log, what the backend server can do from now on.
  fn announce_backend(&self, before: BackendState, instance: &InstanceId, sequence: u64) {
    let shared = &self.shared;
    let state = shared.backend_state();
    if state != before {
      info!(
        shared.log.logger, "the backend server changed its state";
        "instance" => instance.as_str(), "sequence" => sequence,
        "before" => ?before, "state" => ?state
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
