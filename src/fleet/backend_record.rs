use super::*;

/// What a daemon knows of its own backend server, from that server's reports and its health endpoint.
///
/// Reports may arrive late, from before a drain or from a process that has ended. Start times order processes, even
/// under one id, and the sequence orders the reports of one process. A process that left is never taken back. A
/// process that this incarnation of the daemon hasn't seen may have left earlier, so one report isn't enough: its
/// health endpoint must name it, or it must keep reporting while the running process is silent.
///
/// The health endpoint names a process, but not its service. Only the process beside which the daemon started is taken
/// without a report, as the settings read at that time name its service. A process that started later may serve
/// another one, since addresses are reused.
#[derive(Clone, Debug, Default)]
pub struct BackendRecord {
  /// A process that reported and isn't confirmed yet. Never the running process.
  candidate: Option<Candidate>,
  /// The end of the warm-up, during which the process is slow.
  cold_until: Time,
  /// Whether any process reported its start time. Either all processes of a fleet do or none does.
  has_start_times: bool,
  /// Whether the process may have turned cold without a report, so that the health endpoint should be asked.
  is_cold_unconfirmed: bool,
  /// Processes that left or are leaving, oldest first.
  left: VecDeque<Process>,
  /// Whether the first process may be newer than what the settings said at the start: the address was seen without a
  /// process, or the settings changed.
  may_be_newer: bool,
  /// A version that the running process reported lately and that differs from `software`.
  other_software: Option<OtherSoftware>,
  /// The running process.
  process: Option<Process>,
  rename: Rename,
  sequence: u64,
  /// The service that the process reported.
  service: Option<ServiceName>,
  /// Requests that it runs at once, as reported.
  slots: Option<u32>,
  /// The version of its software, as reported.
  software: Option<SoftwareVersion>,
  /// How many processes have replaced the running one.
  starts: u32,
  state: BackendState,
  /// A process that the health endpoint named and that isn't taken before it reports.
  unreported: Option<InstanceId>,
}

/// A process that isn't confirmed as the running one.
#[derive(Clone, Debug)]
struct Candidate {
  /// When its first report arrived.
  first_at: Time,
  /// Its newest report.
  report: BackendReport,
  /// The number of reports, each newer than the one before it.
  reports: u32,
}

/// A version that contradicts the one that the running process reported before.
#[derive(Clone, Debug)]
struct OtherSoftware {
  /// When the first report of it arrived.
  first_at: Time,
  /// The number of reports of it without another one in between.
  reports: u32,
  software: Option<SoftwareVersion>,
}

/// Whether the settings have named another service since the running process reported its own.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Rename {
  /// They have, and the health endpoint named the process since: it still serves what it reported.
  Checked,
  /// They have not.
  #[default]
  None,
  /// They have, and another process may run at the address by now.
  Unchecked,
}

/// Whether a backend server takes work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendState {
  /// It takes work.
  Ready,
  /// It finishes its requests and takes none.
  Leaving,
  /// It hasn't reported yet, or its address refuses connections.
  #[default]
  Unknown,
}

impl BackendRecord {
  /// How many processes that left are remembered; far more than can have reports in flight.
  const LEFT_MAX: usize = 16;

  /// The reports that confirm a process without the health endpoint, or another version than it
  /// reported before. Late reports arrive one or two at a time.
  const REPORTS_MIN: u32 = 3;

  /// The least milliseconds over which these reports must arrive. Delayed reports arrive all at once, and by this time
  /// the health endpoint has been asked a few times.
  const REPORTS_MIN_SPAN_MS: u64 = 1_000;

  /// Handles a report.
  pub fn reported(&mut self, now: Time, report: &BackendReport) -> ReportOutcome {
    if report.process.started_at.is_none() && self.has_start_times {
      return ReportOutcome::Rejected("it does not say when its process started started");
    }
    if self.has_left(&report.process) {
      return ReportOutcome::Stale;
    }
    match &self.process {
      Some(running) if running.may_be_same(&report.process) => self.running_reported(now, report),
      _ if report.leaving => self.leaving_reported(now, report),
      _ => self.candidate_reported(now, report),
    }
  }

  fn running_reported(&mut self, now: Time, report: &BackendReport) -> ReportOutcome {
    if self.service.as_ref().is_some_and(|service| *service != report.service) {
      return ReportOutcome::Rejected("the process serves another service");
    }
    if report.sequence <= self.sequence {
      return ReportOutcome::Stale;
    }
    // Another process that reported meanwhile is not the running one.
    self.candidate = None;
    self.take(now, report);
    ReportOutcome::Accepted
  }

  /// Handles a report of another process than the running one that it is leaving.
  fn leaving_reported(&mut self, now: Time, report: &BackendReport) -> ReportOutcome {
    let is_successor = self.process.as_ref().is_none_or(|running| {
      running.id == report.process.id && running.started_before(&report.process)
    });
    if is_successor {
      self.adopt(now, report);
      return ReportOutcome::Accepted;
    }
    self.candidate.take_if(|candidate| candidate.report.process == report.process);
    self.remember_left(report.process.clone());
    if self.is_former(&report.process) { ReportOutcome::Stale } else { ReportOutcome::Accepted }
  }

  /// Handles a report of another process than the running one that it is ready.
  fn candidate_reported(&mut self, now: Time, report: &BackendReport) -> ReportOutcome {
    let same = |candidate: &&Candidate| candidate.report.process == report.process;
    let known = self.candidate.as_ref().filter(same);
    if known.is_some_and(|candidate| report.sequence <= candidate.report.sequence) {
      return ReportOutcome::Stale;
    }
    let first_at = known.map_or(now, |candidate| candidate.first_at);
    let reports = 1 + known.map_or(0, |candidate| candidate.reports);
    if reports >= Self::REPORTS_MIN && now.since_ms(first_at) >= Self::REPORTS_MIN_SPAN_MS {
      self.adopt(now, report);
    } else {
      self.candidate = Some(Candidate { first_at, report: report.clone(), reports });
    }
    ReportOutcome::Accepted
  }

  /// Makes the reporting process the running one.
  fn adopt(&mut self, now: Time, report: &BackendReport) {
    self.candidate = None;
    self.replace(report.process.clone());
    self.take(now, report);
  }

  /// Applies a report of the running process.
  fn take(&mut self, now: Time, report: &BackendReport) {
    self.has_start_times |= report.process.started_at.is_some();
    self.process = Some(report.process.clone());
    self.sequence = report.sequence;
    self.cold_until = now.after(report.cold_left_ms);
    self.is_cold_unconfirmed = false;
    self.service = Some(report.service.clone());
    self.slots = Some(report.slots);
    self.take_software(now, report);
    // A process that is leaving never becomes ready again.
    if self.state != BackendState::Leaving {
      self.state = if report.leaving { BackendState::Leaving } else { BackendState::Ready };
    }
  }

  /// Applies the reported version. A process keeps its version for life, so another one is believed only if the process
  /// keeps reporting it: one damaged report must not take a backend server out of use. Without start times, another
  /// process may report under the same id.
  fn take_software(&mut self, now: Time, report: &BackendReport) {
    let is_fixed = report.process.started_at.is_some() && self.software.is_some();
    let known = self.other_software.take().filter(|other| other.software == report.software);
    if is_fixed && self.software != report.software {
      let first_at = known.as_ref().map_or(now, |other| other.first_at);
      let reports = 1 + known.map_or(0, |other| other.reports);
      if reports < Self::REPORTS_MIN || now.since_ms(first_at) < Self::REPORTS_MIN_SPAN_MS {
        let software = report.software.clone();
        self.other_software = Some(OtherSoftware { first_at, reports, software });
        return;
      }
    }
    self.software.clone_from(&report.software);
  }

  /// Handles the deregistration of a process.
  pub fn deregistered(&mut self, process: &Process) {
    let Some(running) = self.process.clone().filter(|running| running.may_be_same(process)) else {
      self.candidate.take_if(|candidate| candidate.report.process.may_be_same(process));
      return self.remember_left(process.clone());
    };
    self.state = BackendState::Leaving;
    let started_at = running.started_at.or(process.started_at);
    self.remember_left(Process { started_at, id: running.id });
  }

  /// Assumes that the process is cold for `cold_ms` milliseconds until it reports or answers a health check.
  pub fn assume_cold(&mut self, now: Time, cold_ms: u64) {
    self.cold_until = self.cold_until.max(now.after(cold_ms));
    self.is_cold_unconfirmed = cold_ms > 0;
  }

  /// Handles a health check that found a process with this id. `cold_ms` is its remaining warm-up in milliseconds, if
  /// reported.
  pub fn health_checked(&mut self, now: Time, id: &InstanceId, cold_ms: Option<u64>) {
    self.apply_health_check(now, id);
    let is_running = self.process.as_ref().is_some_and(|running| running.id == *id);
    if is_running && (cold_ms.is_some() || self.is_cold_unconfirmed) {
      self.cold_until = now.after(cold_ms.unwrap_or_default());
      self.is_cold_unconfirmed = false;
    }
  }

  fn apply_health_check(&mut self, now: Time, id: &InstanceId) {
    let is_former = self.candidate.as_ref().is_some_and(|one| self.is_former(&one.report.process));
    let named = |candidate: &mut Candidate| candidate.report.process.id == *id && !is_former;
    if let Some(candidate) = self.candidate.take_if(named) {
      return self.adopt(now, &candidate.report);
    }
    if self.process.is_none() && !self.left.iter().any(|left| left.id == *id) {
      if self.may_be_newer {
        self.unreported = Some(id.clone());
        return;
      }
      self.process = Some(Process { started_at: None, id: id.clone() });
    }
    if self.process.as_ref().is_none_or(|running| running.id != *id) {
      return;
    }
    // Reports may be late, so only this shows that the process is still there.
    if self.rename == Rename::Unchecked {
      self.rename = Rename::Checked;
    }
    // Another process that reported is not the running one, unless it has the same id.
    if !is_former {
      self.candidate = None;
    }
    if self.state == BackendState::Unknown {
      self.state = BackendState::Ready;
    }
  }

  /// Whether a process had the running one's id before it. The health endpoint can't distinguish the two.
  fn is_former(&self, process: &Process) -> bool {
    let has_same_id =
      |running: &Process| running.id == process.id && process.started_before(running);
    self.process.as_ref().is_some_and(has_same_id)
  }

  /// Whether the health endpoint should be asked for the running process and its warm-up.
  pub fn needs_health_check(&self) -> bool {
    let may_be_another = self.rename == Rename::Unchecked && self.state == BackendState::Ready;
    let is_doubted = self.is_cold_unconfirmed || may_be_another;
    self.candidate.is_some() || is_doubted || self.state == BackendState::Unknown
  }

  /// Handles that the address was found without a process, or wasn't looked at for so long that it may have been.
  pub fn found_absent(&mut self) {
    self.may_be_newer |= self.process.is_none();
  }

  /// Handles that the settings name another service, `service`, from now on. A process that was taken without a report
  /// has to report first: it may have started before or after the change.
  pub fn service_named(&mut self, service: &ServiceName) {
    let is_other = self.service.as_ref().is_some_and(|reported| reported != service);
    self.rename = if is_other { Rename::Unchecked } else { Rename::None };
    if self.service.is_none() && self.state != BackendState::Leaving {
      self.process = None;
      self.state = BackendState::Unknown;
      self.may_be_newer = true;
    }
  }

  /// Handles a refused connection to the backend server, or an answer from another process.
  pub fn became_unreachable(&mut self) {
    self.found_absent();
    if self.state == BackendState::Ready {
      self.state = BackendState::Unknown;
      // The next process may have the same id, and without start times it can't be distinguished.
      if !self.has_start_times {
        self.sequence = 0;
      }
    }
  }

  fn replace(&mut self, process: Process) {
    if let Some(former) = self.process.replace(process) {
      self.starts = self.starts.saturating_add(1);
      // Two processes with start times stay ordered even if the wrong one was taken for the running one.
      if former.started_at.is_none() || self.state == BackendState::Leaving {
        self.remember_left(former);
      }
    }
    self.state = BackendState::Unknown;
    self.rename = Rename::None;
    self.sequence = 0;
    self.service = None;
    self.software = None;
    self.other_software = None;
    self.unreported = None;
  }

  /// Whether exactly this process is known to have left. One known by id only may be a later process.
  fn has_left(&self, process: &Process) -> bool {
    self.left.contains(process)
  }

  fn remember_left(&mut self, process: Process) {
    if self.left.contains(&process) {
      return;
    }
    if self.left.len() == Self::LEFT_MAX {
      self.left.pop_front();
    }
    self.left.push_back(process);
  }

  /// The running process, if known.
  pub fn process(&self) -> Option<&Process> {
    self.process.as_ref()
  }

  /// Whether the process is still warming up.
  pub fn is_cold(&self, now: Time) -> bool {
    now < self.cold_until
  }

  /// The service that the running process reported.
  pub fn service(&self) -> Option<&ServiceName> {
    self.service.as_ref()
  }

  /// The service of the process at the address: the reported one, unless the settings have named another one since and
  /// the process that reported may be gone.
  pub fn present_service(&self) -> Option<&ServiceName> {
    let is_present = match self.rename {
      Rename::Checked => self.state == BackendState::Ready,
      Rename::None => true,
      Rename::Unchecked => false,
    };
    self.service.as_ref().filter(|_| is_present)
  }

  /// The service of the process that reported and isn't confirmed yet.
  pub fn candidate_service(&self) -> Option<&ServiceName> {
    self.candidate.as_ref().map(|candidate| &candidate.report.service)
  }

  /// A process that the health endpoint named and that gets no work before it reports.
  pub fn unreported(&self) -> Option<&InstanceId> {
    self.unreported.as_ref()
  }

  /// The number of requests that it runs at once, as reported.
  pub fn slots(&self) -> Option<u32> {
    self.slots
  }

  /// Its software version, as reported.
  pub fn software(&self) -> Option<&SoftwareVersion> {
    self.software.as_ref()
  }

  /// How many processes followed the first one in this incarnation of the daemon.
  pub fn starts(&self) -> u32 {
    self.starts
  }

  /// The state of the backend server.
  pub fn state(&self) -> BackendState {
    self.state
  }
}
