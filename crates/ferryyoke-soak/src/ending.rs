use super::*;

/// A run of a request that ends the process which runs it.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
  /// When it began.
  pub at_ms: Ms,
  /// The box at which it was sent.
  pub index: usize,
  /// Which of these requests it is.
  pub number: usize,
}

impl Ending {
  const PREFIX: &str = "ends";

  /// The id of an attempt.
  pub fn id(number: usize, index: usize, attempt: usize) -> String {
    format!("{}-{number}-{index}-{attempt}", Self::PREFIX)
  }

  /// What a run was, where it was of such a request.
  pub fn of(run: &Run) -> Option<Self> {
    let mut parts = run.request_id.strip_prefix(Self::PREFIX)?.split('-').skip(1);
    let mut next = || parts.next()?.parse().ok();
    let (number, index) = (next()?, next()?);
    Some(Self { at_ms: run.at_ms, index, number })
  }
}
