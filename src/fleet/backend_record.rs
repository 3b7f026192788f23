use super::*;

/// What a daemon knows of the backend server beside it, from what that one reports itself.
///
/// A report may arrive late, from before a drain or from a process that has ended: the sequence
/// orders the reports of one process, and a process that left is never taken back. A process that this
/// life of the daemon has not seen yet may have left before it: its report alone is not believed. The
/// health endpoint must name it, or it must go on reporting.
#[derive(Clone, Debug, Default)]
pub struct BackendRecord {
  /// A process that reported and is not believed yet. Never the running one.
  candidate: Option<Candidate>,
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

/// A process whose reports are not confirmed.
#[derive(Clone, Debug)]
struct Candidate {
  /// Its newest report.
  report: BackendReport,
  /// How many reports came, each newer than the one before it.
  reports: u32,
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

  /// Reports after which a process is believed although no health endpoint names it. Late ones come one
  /// or two at a time.
  const REPORTS_MIN: u32 = 3;

  /// Takes in a report. Returns whether it told something newer than what was known.
  pub fn reported(&mut self, now: Time, report: &BackendReport) -> bool {
    if self.left.contains(&report.instance) {
      return false;
    }
    if self.instance.as_ref() == Some(&report.instance) {
      let is_newer = report.sequence > self.sequence;
      if is_newer {
        self.take(now, report);
      }
      return is_newer;
    }
    if report.leaving {
      self.leaving_reported(now, report);
      return true;
    }
    self.candidate_reported(now, report)
  }

  /// A process that is not the running one says that it leaves.
  fn leaving_reported(&mut self, now: Time, report: &BackendReport) {
    if self.instance.is_none() {
      return self.adopt(now, report);
    }
    self.candidate.take_if(|candidate| candidate.report.instance == report.instance);
    self.remember_left(report.instance.clone());
  }

  /// A process that is not the running one says that it is ready.
  fn candidate_reported(&mut self, now: Time, report: &BackendReport) -> bool {
    let same = |candidate: &&Candidate| candidate.report.instance == report.instance;
    let known = self.candidate.as_ref().filter(same);
    if known.is_some_and(|candidate| report.sequence <= candidate.report.sequence) {
      return false;
    }
    let reports = 1 + known.map_or(0, |candidate| candidate.reports);
    if reports >= Self::REPORTS_MIN {
      self.adopt(now, report);
    } else {
      self.candidate = Some(Candidate { report: report.clone(), reports });
    }
    true
  }

  /// A process is believed to be the running one.
  fn adopt(&mut self, now: Time, report: &BackendReport) {
    self.candidate = None;
    self.replace(Some(report.instance.clone()));
    self.take(now, report);
  }

  /// Takes over what the running process reports.
  fn take(&mut self, now: Time, report: &BackendReport) {
    self.sequence = report.sequence;
    self.cold_until = now.after(report.cold_left_ms);
    self.service = Some(report.service.clone());
    self.slots = Some(report.slots);
    // A process that leaves does not come back, whatever a report says.
    if self.state != BackendState::Leaving {
      self.state = if report.leaving { BackendState::Leaving } else { BackendState::Ready };
    }
  }

  /// A process said that it goes.
  pub fn deregistered(&mut self, instance: &InstanceId) {
    if self.instance.as_ref() == Some(instance) {
      self.state = BackendState::Leaving;
    }
    self.candidate.take_if(|candidate| candidate.report.instance == *instance);
    self.remember_left(instance.clone());
  }

  /// The health endpoint answered that a process is well.
  pub fn probed(&mut self, now: Time, instance: &InstanceId) {
    if self.left.contains(instance) {
      return;
    }
    let named = |candidate: &mut Candidate| candidate.report.instance == *instance;
    if let Some(candidate) = self.candidate.take_if(named) {
      return self.adopt(now, &candidate.report);
    }
    if self.instance.is_none() {
      self.instance = Some(instance.clone());
    }
    if self.instance.as_ref() != Some(instance) {
      return;
    }
    // Whoever else reported is not the one that runs.
    self.candidate = None;
    if self.state == BackendState::Unknown {
      self.state = BackendState::Ready;
    }
  }

  /// Whether the health endpoint should be asked which process runs.
  pub fn is_in_doubt(&self) -> bool {
    self.candidate.is_some() || self.state == BackendState::Unknown
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
