use super::*;

/// What a daemon knows of the backend server beside it, from what that one reports itself.
///
/// A report may arrive late, from before a drain or from a process that has ended: the moment of their start
/// orders processes, also under one id, and the sequence orders the reports of one process. A process that left
/// is never taken back. A process that this life of the daemon has not seen yet may have left before it: its
/// report alone is not believed. The health endpoint must name it, or it must go on reporting while the one
/// that runs says nothing.
#[derive(Clone, Debug, Default)]
pub struct BackendRecord {
  /// A process that reported and is not believed yet. Never the running one.
  candidate: Option<Candidate>,
  /// Whether the process may have turned cold without a word, so that the health endpoint should be asked.
  cold_in_doubt: bool,
  /// Until when the process is slow, for it started a moment ago.
  cold_until: Time,
  /// Whether any process said when it started. All of a fleet do, or none does.
  knows_births: bool,
  /// Processes that are gone or on their way out, oldest first.
  left: VecDeque<Process>,
  /// The running process.
  process: Option<Process>,
  sequence: u64,
  /// The service that it reports.
  service: Option<ServiceName>,
  /// Requests that it runs at once, as reported.
  slots: Option<u32>,
  /// The version of its software, as reported.
  software: Option<SoftwareVersion>,
  /// How many processes were taken for the running one, after the first.
  starts: u32,
  state: BackendState,
}

/// A process whose reports are not confirmed.
#[derive(Clone, Debug)]
struct Candidate {
  /// When its first report came.
  first_at: Time,
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

impl BackendRecord {
  /// Processes that left and are remembered, far more than can have reports under way.
  const LEFT_MAX: usize = 16;

  /// Reports after which a process is believed although no health endpoint names it. Late ones come one
  /// or two at a time.
  const REPORTS_MIN: u32 = 3;

  /// Milliseconds over which these must come: what was held up comes at once, and by then the health endpoint
  /// was asked a few times.
  const REPORTS_OVER_MS: u64 = 1_000;

  /// Takes in a report.
  pub fn reported(&mut self, now: Time, report: &BackendReport) -> Heard {
    if report.process.born.is_none() && self.knows_births {
      return Heard::Foreign("it does not say when its process started");
    }
    if self.has_left(&report.process) {
      return Heard::Late;
    }
    match &self.process {
      Some(running) if running.may_be(&report.process) => self.running_reported(now, report),
      _ if report.leaving => self.leaving_reported(now, report),
      _ => self.candidate_reported(now, report),
    }
  }

  fn running_reported(&mut self, now: Time, report: &BackendReport) -> Heard {
    if self.service.as_ref().is_some_and(|service| *service != report.service) {
      return Heard::Foreign("the process serves another service");
    }
    if report.sequence <= self.sequence {
      return Heard::Late;
    }
    // Whoever else reported meanwhile is not the one that runs.
    self.candidate = None;
    self.take(now, report);
    Heard::News
  }

  /// A process that is not the running one says that it leaves.
  fn leaving_reported(&mut self, now: Time, report: &BackendReport) -> Heard {
    let is_successor = self
      .process
      .as_ref()
      .is_none_or(|running| running.id == report.process.id && running.is_before(&report.process));
    if is_successor {
      self.adopt(now, report);
      return Heard::News;
    }
    self.candidate.take_if(|candidate| candidate.report.process == report.process);
    self.remember_left(report.process.clone());
    if self.is_former(&report.process) { Heard::Late } else { Heard::News }
  }

  /// A process that is not the running one says that it is ready.
  fn candidate_reported(&mut self, now: Time, report: &BackendReport) -> Heard {
    let same = |candidate: &&Candidate| candidate.report.process == report.process;
    let known = self.candidate.as_ref().filter(same);
    if known.is_some_and(|candidate| report.sequence <= candidate.report.sequence) {
      return Heard::Late;
    }
    let first_at = known.map_or(now, |candidate| candidate.first_at);
    let reports = 1 + known.map_or(0, |candidate| candidate.reports);
    if reports >= Self::REPORTS_MIN && now.since_ms(first_at) >= Self::REPORTS_OVER_MS {
      self.adopt(now, report);
    } else {
      self.candidate = Some(Candidate { first_at, report: report.clone(), reports });
    }
    Heard::News
  }

  /// A process is believed to be the running one.
  fn adopt(&mut self, now: Time, report: &BackendReport) {
    self.candidate = None;
    self.replace(report.process.clone());
    self.take(now, report);
  }

  /// Takes over what the running process reports.
  fn take(&mut self, now: Time, report: &BackendReport) {
    self.knows_births |= report.process.born.is_some();
    self.process = Some(report.process.clone());
    self.sequence = report.sequence;
    self.cold_until = now.after(report.cold_left_ms);
    self.cold_in_doubt = false;
    self.service = Some(report.service.clone());
    self.slots = Some(report.slots);
    self.software.clone_from(&report.software);
    // A process that leaves does not come back, whatever a report says.
    if self.state != BackendState::Leaving {
      self.state = if report.leaving { BackendState::Leaving } else { BackendState::Ready };
    }
  }

  /// A process said that it goes.
  pub fn deregistered(&mut self, process: &Process) {
    let Some(running) = self.process.clone().filter(|running| running.may_be(process)) else {
      self.candidate.take_if(|candidate| candidate.report.process.may_be(process));
      return self.remember_left(process.clone());
    };
    self.state = BackendState::Leaving;
    let born = running.born.or(process.born);
    self.remember_left(Process { born, id: running.id });
  }

  /// The process may be cold for so long, and has not told.
  pub fn may_be_cold(&mut self, now: Time, cold_ms: u64) {
    self.cold_until = self.cold_until.max(now.after(cold_ms));
    self.cold_in_doubt = cold_ms > 0;
  }

  /// The health endpoint answered that a process with this id is well, and how long it stays cold where it told.
  pub fn probed(&mut self, now: Time, id: &InstanceId, cold_ms: Option<u64>) {
    self.take_probe(now, id);
    let is_running = self.process.as_ref().is_some_and(|running| running.id == *id);
    if is_running && (cold_ms.is_some() || self.cold_in_doubt) {
      self.cold_until = now.after(cold_ms.unwrap_or_default());
      self.cold_in_doubt = false;
    }
  }

  fn take_probe(&mut self, now: Time, id: &InstanceId) {
    let is_former = self.candidate.as_ref().is_some_and(|one| self.is_former(&one.report.process));
    let named = |candidate: &mut Candidate| candidate.report.process.id == *id && !is_former;
    if let Some(candidate) = self.candidate.take_if(named) {
      return self.adopt(now, &candidate.report);
    }
    if self.process.is_none() && !self.left.iter().any(|left| left.id == *id) {
      self.process = Some(Process { born: None, id: id.clone() });
    }
    if self.process.as_ref().is_none_or(|running| running.id != *id) {
      return;
    }
    // Whoever else reported is not the one that runs, but for one that bears its id.
    if !is_former {
      self.candidate = None;
    }
    if self.state == BackendState::Unknown {
      self.state = BackendState::Ready;
    }
  }

  /// Whether a process bore the running one's id before it: the health endpoint cannot tell them apart.
  fn is_former(&self, process: &Process) -> bool {
    let is_same_id = |running: &Process| running.id == process.id && process.is_before(running);
    self.process.as_ref().is_some_and(is_same_id)
  }

  /// Whether the health endpoint should be asked which process runs.
  pub fn is_in_doubt(&self) -> bool {
    self.candidate.is_some() || self.cold_in_doubt || self.state == BackendState::Unknown
  }

  /// The address refuses connections, or another process answers there.
  pub fn vanished(&mut self) {
    if self.state == BackendState::Ready {
      self.state = BackendState::Unknown;
      // The next process may bear the same id, and tells by nothing that it is another one.
      if !self.knows_births {
        self.sequence = 0;
      }
    }
  }

  fn replace(&mut self, process: Process) {
    if let Some(former) = self.process.replace(process) {
      self.starts = self.starts.saturating_add(1);
      // Where both say when they started, that orders them, also where they were mistaken for each other.
      if former.born.is_none() || self.state == BackendState::Leaving {
        self.remember_left(former);
      }
    }
    self.state = BackendState::Unknown;
    self.sequence = 0;
    self.service = None;
    self.software = None;
  }

  /// Whether a process is known to have left. What is known by its id alone may be a later one.
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

  /// The running process, as far as known.
  pub fn process(&self) -> Option<&Process> {
    self.process.as_ref()
  }

  /// Whether the process is still slow from its start.
  pub fn is_cold(&self, now: Time) -> bool {
    now < self.cold_until
  }

  /// The service that the backend server reported last.
  pub fn service(&self) -> Option<&ServiceName> {
    self.service.as_ref()
  }

  /// Requests that it runs at once, as it reported.
  pub fn slots(&self) -> Option<u32> {
    self.slots
  }

  /// The version of its software, as it reported.
  pub fn software(&self) -> Option<&SoftwareVersion> {
    self.software.as_ref()
  }

  /// How many processes followed the first one, in this life of the daemon.
  pub fn starts(&self) -> u32 {
    self.starts
  }

  /// Whether it takes work.
  pub fn state(&self) -> BackendState {
    self.state
  }
}
