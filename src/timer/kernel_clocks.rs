use super::*;

use rustix::time::{ClockId, clock_gettime};

/// The kernel's clocks: `CLOCK_MONOTONIC` and `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug)]
pub struct KernelClocks;

impl KernelClocks {
  /// Returns the processor time that the current thread has taken.
  pub(super) fn processor_time() -> Duration {
    read(ClockId::ThreadCPUTime)
  }
}

impl Clocks for KernelClocks {
  fn monotonic(&self) -> Duration {
    read(ClockId::Monotonic)
  }

  fn boot_time(&self) -> Duration {
    read(ClockId::Boottime)
  }
}

fn read(clock: ClockId) -> Duration {
  let read = clock_gettime(clock);
  let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
  Duration::new(seconds, u32::try_from(read.tv_nsec).unwrap_or_default())
}
