use super::*;

/// Determines which requests a backend server's process was running when it crashed.
///
/// A broken connection alone is no sign of a crash. It is one if nothing listens at the address any
/// more, or if another process does. Each request that was running then may be the cause.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
  /// Runs whose connection broke, with the time of that, oldest first.
  broken: VecDeque<(Time, Fingerprint)>,
  /// When a run was last cancelled, which the backend server may continue.
  cancelled_at: Option<Time>,
  /// Whether the end of the current process was reported.
  is_end_reported: bool,
  last_run: u64,
  probed_at: Option<Time>,
  running: BTreeMap<RunId, Run>,
}

/// Identifies a run at the backend server, unique until the daemon restarts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunId(u64);

#[derive(Clone, Copy, Debug)]
struct Run {
  fingerprint: Fingerprint,
  /// Whether the end of its process is already known, so that its broken connection is no new sign
  /// of a crash.
  is_reported: bool,
}

impl CrashDetector {
  /// Milliseconds within which all connections of a crashed process break: it is on the same box.
  const SAME_CRASH_MS: u64 = 500;
  /// Milliseconds for which broken runs are remembered until a new process is seen: a backend
  /// server restarts and reports within some seconds.
  const REMEMBERED_MS: u64 = 10_000;
  /// Most broken runs remembered: as many as a large backend server runs at once.
  const BROKEN_MAX: usize = 256;
  /// Milliseconds after a cancelled run within which the backend server may still run the request.
  const CANCELLED_MS: u64 = 5_000;
  /// Milliseconds between two probes of the backend server's address.
  const PROBE_INTERVAL_MS: u64 = 100;
  /// Most suspects of one crash, which bounds the size of its report.
  const SUSPECTS_MAX: usize = 64;

  /// Records that a request is sent to the backend server.
  pub fn begin(&mut self, fingerprint: Fingerprint) -> RunId {
    self.last_run += 1;
    self.is_end_reported = false;
    let id = RunId(self.last_run);
    self.running.insert(id, Run { fingerprint, is_reported: false });
    id
  }

  /// Records the end of a run. Returns whether to probe now if anything listens at the backend
  /// server's address.
  pub fn end(&mut self, now: Time, id: RunId, end: RunEnd) -> bool {
    if end == RunEnd::Cancelled {
      self.cancelled_at = Some(now);
    }
    let ended = self.running.remove(&id).filter(|run| !run.is_reported);
    let Some(run) = ended.filter(|_| end == RunEnd::ConnectionLost) else {
      return false;
    };
    if self.broken.len() == Self::BROKEN_MAX {
      self.broken.pop_front();
    }
    self.broken.push_back((now, run.fingerprint));
    let is_due = self.probed_at.is_none_or(|at| now.since_ms(at) >= Self::PROBE_INTERVAL_MS);
    if is_due {
      self.probed_at = Some(now);
    }
    is_due
  }

  /// Returns the requests that the crashed process was running; an empty list if it ran none.
  /// Returns `None` where that is not known, or the crash was reported before.
  pub fn crashed(&mut self, now: Time) -> Option<Vec<Fingerprint>> {
    let broken = std::mem::take(&mut self.broken);
    let last_at = broken.back().map(|(at, _)| *at);
    let Some(last_at) = last_at.filter(|at| now.since_ms(*at) < Self::REMEMBERED_MS) else {
      return self.crashed_idle(now).then(Vec::new);
    };
    self.is_end_reported = true;
    let same_crash = broken.iter().filter(|(at, _)| last_at.since_ms(*at) < Self::SAME_CRASH_MS);
    let mut suspects: BTreeSet<Fingerprint> =
      same_crash.map(|(_, fingerprint)| *fingerprint).collect();
    for run in self.running.values_mut() {
      run.is_reported = true;
      suspects.insert(run.fingerprint);
    }
    Some(suspects.into_iter().take(Self::SUSPECTS_MAX).collect())
  }

  /// Whether the crashed process certainly ran no request, and the crash was not reported before.
  fn crashed_idle(&mut self, now: Time) -> bool {
    let may_run = self.cancelled_at.is_some_and(|at| now.since_ms(at) < Self::CANCELLED_MS)
      || self.running.values().any(|run| !run.is_reported);
    !may_run && !std::mem::replace(&mut self.is_end_reported, true)
  }

  /// Records that another process runs now.
  pub fn process_started(&mut self) {
    self.is_end_reported = false;
  }

  /// Records that the process exits as planned, so that none of its requests becomes a suspect.
  pub fn record_planned_exit(&mut self) {
    self.broken.clear();
    self.is_end_reported = true;
    for run in self.running.values_mut() {
      run.is_reported = true;
    }
  }
}
