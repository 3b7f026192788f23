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
    let now = self.shared.now().time;
    let is_newer =
      self.change_backend(&report.instance, report.sequence, |record| record.reported(now, report));
    if !is_newer {
      debug!(
        self.shared.log.logger, "a late report of a backend server was passed over";
        "instance" => report.instance.as_str(), "sequence" => report.sequence
      );
    }
  }

  /// The backend server said that it goes.
  pub fn backend_deregistered(&self, instance: &InstanceId) {
    self.change_backend(instance, 0, |record| record.deregistered(instance));
  }

  /// The health endpoint answered for a process.
  pub fn backend_probed(&self, instance: &InstanceId) {
    let now = self.shared.now().time;
    self.change_backend(instance, 0, |record| record.probed(now, instance));
  }

  /// Changes what is known of the backend server, and tells the fleet and the log what came of it.
  fn change_backend<T>(
    &self,
    instance: &InstanceId,
    sequence: u64,
    change: impl FnOnce(&mut BackendRecord) -> T,
  ) -> T {
    let shared = &self.shared;
    let (before, former) = (shared.backend_state(), shared.backend.borrow().instance().cloned());
    let outcome = change(&mut shared.backend.borrow_mut());
    if former.is_some() && former.as_ref() != shared.backend.borrow().instance() {
      shared.monitor.borrow_mut().forget();
    }
    self.take_over_slots();
    self.announce_backend(before, instance, sequence);
    outcome
  }

  /// Brings the limiter, and the fleet, to what the backend server reported.
  fn take_over_slots(&self) {
    let shared = &self.shared;
    let reported = {
      let record = shared.backend.borrow();
      record.slots().zip(record.service().cloned())
    };
    let Some((slots, service)) = reported else {
      return;
    };
    let admitted = shared.limiter.borrow_mut().set_slots(shared.now().time, slots as usize);
    for ticket in admitted {
      shared.admit(ticket);
    }
    self.distribution.handle(Event::EndpointServes { service, slots });
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
