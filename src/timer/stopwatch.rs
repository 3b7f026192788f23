use super::*;

/// Measures what something takes, to learn from it. A measurement during which the process stood still says nothing of
/// what was measured.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
  started: Duration,
  standstills: u64,
}

impl Stopwatch {
  /// Begins to measure.
  pub fn start() -> Self {
    Self { started: now(), standstills: standstill::notice() }
  }

  /// What it took so far; nothing where the process stood still meanwhile.
  pub fn read(&self) -> Option<Duration> {
    let took = now().saturating_sub(self.started);
    (standstill::notice() == self.standstills).then_some(took)
  }
}
