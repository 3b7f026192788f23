use {
  super::*,
  ferryyoke::timer::{Clocks, KernelClocks},
};

/// Simulates a suspended machine: the steady clock omits the time for which a signal stopped this process. The machine
/// that runs the soak test isn't suspended itself.
///
/// Not simulated: the timers of the kernel and of its connections, which also pause on a suspended machine.
#[derive(Default)]
pub struct StoppedClocks {
  /// The total time for which the process was stopped.
  left_out: Cell<Duration>,
  looked_at: Cell<Option<Duration>>,
}

impl StoppedClocks {
  /// The argument that selects these clocks. It precedes the daemon's own arguments.
  pub const WORD: &'static str = "suspended-when-stopped";

  /// A longer gap between two clock readings means that the process was stopped: a running daemon reads its clocks many
  /// times within it.
  const STOPPED: Duration = Duration::from_millis(400);

  fn look(&self) -> Duration {
    let whole = KernelClocks.boot_time();
    let pause = whole.saturating_sub(self.looked_at.replace(Some(whole)).unwrap_or(whole));
    if pause > Self::STOPPED {
      self.left_out.set(self.left_out.get() + pause);
    }
    whole
  }
}

impl Clocks for StoppedClocks {
  fn monotonic(&self) -> Duration {
    self.look().saturating_sub(self.left_out.get())
  }

  fn boot_time(&self) -> Duration {
    self.look()
  }
}
