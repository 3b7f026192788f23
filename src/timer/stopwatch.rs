use super::*;

/// Measures the duration of an operation. Measurements during which the process was paused are discarded, as they say
/// nothing about the operation.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
  started: Duration,
  pauses: u64,
}

impl Stopwatch {
  /// Starts a measurement.
  pub fn start() -> Self {
    Self { started: now(), pauses: process_pause::check() }
  }

  /// Returns the time since the start; `None` if the process was paused meanwhile.
  pub fn read(&self) -> Option<Duration> {
    let took = now().saturating_sub(self.started);
    (process_pause::check() == self.pauses).then_some(took)
  }
}
