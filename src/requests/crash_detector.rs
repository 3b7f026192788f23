use super::*;

/// Finds out which requests a process of the backend server ran when it ended without a word.
///
/// A connection that breaks says little by itself. Together with an address where nobody listens any more, or another
/// process in its place, it says that the process ended; and all that it ran then may be the cause.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
  /// Runs whose connection broke, with when that was, oldest first.
  broken: VecDeque<(Time, Fingerprint)>,
  last_run: u64,
  looked_at: Option<Time>,
  running: BTreeMap<RunId, Run>,
}

/// Names a run at the backend server, within one life of the daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunId(u64);

#[derive(Clone, Copy, Debug)]
struct Run {
  fingerprint: Fingerprint,
  /// Whether its process is known to have ended, so that the end of its connection says nothing new.
  is_reported: bool,
}

impl CrashDetector {
  /// Milliseconds within which the connections of a process break that ended: it is on the same box.
  const TOGETHER_MS: u64 = 500;
  /// Milliseconds for which broken runs are remembered, until another process is seen: a backend server is
  /// started again, and reports, within some seconds.
  const REMEMBERED_MS: u64 = 10_000;
  /// Broken runs that are remembered: as many as a large backend server runs at once.
  const BROKEN_MAX: usize = 256;
  /// Milliseconds between two looks whether anybody listens at the address.
  const LOOK_PAUSE_MS: u64 = 100;
  /// Requests that one crash names at most, so that its news stays small.
  const SUSPECTS_MAX: usize = 64;

  /// A request is handed to the backend server.
  pub fn begin(&mut self, fingerprint: Fingerprint) -> RunId {
    self.last_run += 1;
    let id = RunId(self.last_run);
    self.running.insert(id, Run { fingerprint, is_reported: false });
    id
  }

  /// A run ended. Returns whether to look now if anybody listens at the backend server's address.
  pub fn end(&mut self, now: Time, id: RunId, end: RunEnd) -> bool {
    let ended = self.running.remove(&id).filter(|run| !run.is_reported);
    let Some(run) = ended.filter(|_| end == RunEnd::ConnectionLost) else {
      return false;
    };
    if self.broken.len() == Self::BROKEN_MAX {
      self.broken.pop_front();
    }
    self.broken.push_back((now, run.fingerprint));
    let is_due = self.looked_at.is_none_or(|at| now.since_ms(at) >= Self::LOOK_PAUSE_MS);
    if is_due {
      self.looked_at = Some(now);
    }
    is_due
  }

  /// The process has ended without a word. Returns the requests that it ran; none where no connection broke, for
  /// then it had none, or this was told before.
  pub fn crashed(&mut self, now: Time) -> Vec<Fingerprint> {
    let broken = std::mem::take(&mut self.broken);
    let last_at = broken.back().map(|(at, _)| *at);
    let Some(last_at) = last_at.filter(|at| now.since_ms(*at) < Self::REMEMBERED_MS) else {
      return Vec::new();
    };
    let together = broken.iter().filter(|(at, _)| last_at.since_ms(*at) < Self::TOGETHER_MS);
    let mut suspects: BTreeSet<Fingerprint> =
      together.map(|(_, fingerprint)| *fingerprint).collect();
    for run in self.running.values_mut() {
      run.is_reported = true;
      suspects.insert(run.fingerprint);
    }
    suspects.into_iter().take(Self::SUSPECTS_MAX).collect()
  }

  /// The process ends as it said it would, which counts against nothing that it runs.
  pub fn leaves(&mut self) {
    self.broken.clear();
    for run in self.running.values_mut() {
      run.is_reported = true;
    }
  }
}
