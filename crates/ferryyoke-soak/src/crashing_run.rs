use super::*;

/// One run of a request that crashes the backend server which runs it.
#[derive(Clone, Copy, Debug)]
pub struct CrashingRun {
  /// When the run began.
  pub at_ms: Ms,
  /// The box to which the request was sent.
  pub index: usize,
  /// The number of the crashing request.
  pub number: usize,
}

impl CrashingRun {
  const PREFIX: &str = "ends";

  /// Returns the request id of an attempt.
  pub fn id(number: usize, index: usize, attempt: usize) -> String {
    format!("{}-{number}-{index}-{attempt}", Self::PREFIX)
  }

  /// Parses the request id of a run. Returns `None` if the run isn't of a crashing request.
  pub fn of(run: &Run) -> Option<Self> {
    let mut parts = run.request_id.strip_prefix(Self::PREFIX)?.split('-').skip(1);
    let mut next = || parts.next()?.parse().ok();
    let (number, index) = (next()?, next()?);
    Some(Self { at_ms: run.at_ms, index, number })
  }
}
