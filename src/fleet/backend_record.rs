use super::*;

/// What a daemon knows of the backend server beside it, from what that one reports itself.
///
/// A report may arrive late, from before a drain or from a process that has ended: the sequence
/// orders the reports of one process, and a process that left is never taken back.
#[derive(Clone, Debug, Default)]
pub struct BackendRecord {
  /// Until when the process is slow, for it started a moment ago.
  cold_until: Time,
  /// The running process.
  instance: Option<InstanceId>,
  /// Processes that are gone or on their way out, oldest first.
  left: VecDeque<InstanceId>,
  sequence: u64,
  /// The service that it reports.
  service: Option<ServiceName>,
  /// Requests that it runs at once, as reported.
  slots: Option<u32>,
  state: BackendState,
}

/// Whether the backend server takes work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendState {
  /// It takes work.
  Ready,
  /// It finishes what it has.
  Leaving,
  /// Nothing was heard from it yet, or its address refuses connections.
  #[default]
  Unknown,
}

/// One report of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
  /// Milliseconds for which the process is still slow from its start.
  pub cold_left_ms: u64,
  /// The process that reports.
  pub instance: InstanceId,
  /// Whether it is on its way out.
  pub leaving: bool,
  /// Grows with each report of one process.
  pub sequence: u64,
  /// The service that it serves.
  pub service: ServiceName,
  /// Requests that it runs at once.
  pub slots: u32,
}

impl BackendRecord {
  /// Processes that left and are remembered, far more than can have reports under way.
  const LEFT_MAX: usize = 16;

  /// Takes in a report. Returns whether it told something newer than what was known.
  pub fn reported(&mut self, now: Time, report: &BackendReport) -> bool {
    let known = self.instance.as_ref() == Some(&report.instance);
    let is_late = known && report.sequence <= self.sequence;
    if is_late || self.left.contains(&report.instance) {
      return false;
    }
    if !known {
      self.replace(Some(report.instance.clone()));
    }
    self.sequence = report.sequence;
    self.cold_until = now.after(report.cold_left_ms);
    self.service = Some(report.service.clone());
    self.slots = Some(report.slots);
    // A process that leaves does not come back, whatever a report says.
    if self.state != BackendState::Leaving {
      self.state = if report.leaving { BackendState::Leaving } else { BackendState::Ready };
    }
    true
  }

  /// A process said that it goes.
  pub fn deregistered(&mut self, instance: &InstanceId) {
    if self.instance.as_ref() == Some(instance) {
      self.state = BackendState::Leaving;
    }
    self.remember_left(instance.clone());
  }

  /// The health endpoint answered for a process, before any report of it came in this life.
  pub fn probed(&mut self, instance: InstanceId) {
    if self.instance.is_none() && !self.left.contains(&instance) {
      self.instance = Some(instance);
      self.state = BackendState::Ready;
    }
  }

  /// The address refuses connections, or another process answers there.
  pub fn vanished(&mut self) {
    if self.state == BackendState::Ready {
      self.state = BackendState::Unknown;
    }
  }

  fn replace(&mut self, instance: Option<InstanceId>) {
    if let Some(former) = std::mem::replace(&mut self.instance, instance) {
      self.remember_left(former);
    }
    self.state = BackendState::Unknown;
    self.sequence = 0;
  }

  fn remember_left(&mut self, instance: InstanceId) {
    if self.left.contains(&instance) {
      return;
    }
    if self.left.len() == Self::LEFT_MAX {
      self.left.pop_front();
    }
    self.left.push_back(instance);
  }

  /// The running process, as far as known.
  pub fn instance(&self) -> Option<&InstanceId> {
    self.instance.as_ref()
  }

  /// The service that the backend server reported last.
  pub fn service(&self) -> Option<&ServiceName> {
    self.service.as_ref()
  }

  /// Requests that it runs at once, as it reported.
  pub fn slots(&self) -> Option<u32> {
    self.slots
  }

  /// Whether it takes work.
  pub fn state(&self) -> BackendState {
    self.state
  }
}
