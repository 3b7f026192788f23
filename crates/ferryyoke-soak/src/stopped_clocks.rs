use {
  super::*,
  ferryyoke::timer::{Clocks, KernelClocks},
};

/// The clocks of a machine that is suspended while this process is stopped by a signal: its steady clock leaves that
/// time out. Nobody suspends the machine that runs the soak.
///
/// What it cannot show: a kernel whose own timers, and those of its connections, stand still too.
#[derive(Default)]
pub struct StoppedClocks {
  /// The time for which the process was stopped.
  left_out: Cell<Duration>,
  looked_at: Cell<Option<Duration>>,
}

impl StoppedClocks {
  /// The word that asks for these clocks, in front of those for the daemon.
  pub const WORD: &'static str = "suspended-when-stopped";

  /// A pause between two looks that means that the process was stopped: a daemon looks many times in it.
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
