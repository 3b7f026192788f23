use super::*;

thread_local! {
  static DETECTOR: RefCell<PauseDetector> = RefCell::default();
}

/// A time for which the event loop did not go on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pause {
  /// How long it was.
  pub duration: Duration,
  /// The processor time that this thread took meanwhile: about as much if one task held the event loop, little if the
  /// machine was suspended or the process got no processor time.
  pub processor_time: Duration,
}

/// Detects pauses of this process: its machine was suspended, it was stopped, it got no processor time, or one task held
/// its event loop.
#[derive(Default)]
struct PauseDetector {
  /// Difference of the two clocks at the last check.
  difference: Option<Duration>,
  /// Number of pauses so far.
  count: u64,
  /// Time of the last check.
  checked_at: Option<Duration>,
  /// Processor time of the thread, and the time of the check that read it.
  processor_read: Option<(Duration, Duration)>,
  /// All pauses that [`take_pause`] has not returned yet.
  unreported: Pause,
}

/// Shortest time between two readings of the processor time, which is slower to read than other clocks.
const PROCESSOR_PERIOD: Duration = Duration::from_millis(100);

/// Shortest suspension that counts. The two clocks are not read at the same instant, and no time limit in the daemon
/// is shorter than this.
const SUSPENSION_MIN: Duration = Duration::from_millis(20);

/// Shortest time between two checks that counts as a pause. A daemon checks twenty times within it, also on a busy
/// machine.
const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Checks for a pause since the last check, and if there was one, wakes all waiting tasks: their time may be over,
/// which the event loop's clock does not show. Returns the number of pauses so far.
pub(super) fn check() -> u64 {
  let (boot_time, monotonic) =
    CLOCKS.with_borrow(|clocks| (clocks.boot_time(), clocks.monotonic()));
  let difference = boot_time.saturating_sub(monotonic);
  let was_paused = DETECTOR.with_borrow_mut(|detector| detector.check(boot_time, difference));
  if was_paused {
    Sleepers::wake_all();
  }
  count()
}

/// Returns the number of pauses detected so far.
pub(super) fn count() -> u64 {
  DETECTOR.with_borrow(|detector| detector.count)
}

/// Returns the pauses since the last call as one, if any. Call it every few milliseconds, and before relying on earlier
/// state.
pub fn take_pause() -> Option<Pause> {
  check();
  let unreported = DETECTOR.with_borrow_mut(|detector| std::mem::take(&mut detector.unreported));
  (!unreported.duration.is_zero()).then_some(unreported)
}

impl PauseDetector {
  /// Returns whether the process was paused since the last check. `now` includes suspensions; `difference` is the time
  /// by which it is ahead of the monotonic clock.
  fn check(&mut self, now: Duration, difference: Duration) -> bool {
    let before = self.difference.replace(difference);
    let checked_at = self.checked_at.replace(now);
    let suspended = before.map_or(Duration::ZERO, |before| difference.saturating_sub(before));
    let since_check = checked_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
    let pause = if since_check >= PAUSE_MIN { since_check } else { suspended };
    let processor_time = self.read_processor(now);
    if pause < SUSPENSION_MIN {
      return false;
    }
    self.count += 1;
    self.unreported.duration += pause;
    self.unreported.processor_time += processor_time;
    true
  }

  /// Returns the processor time of this thread since it was last read, if that is due again.
  fn read_processor(&mut self, now: Duration) -> Duration {
    let before = self.processor_read;
    let is_due = before.is_none_or(|(_, at)| now.saturating_sub(at) >= PROCESSOR_PERIOD);
    if !is_due {
      return Duration::ZERO;
    }
    let processor = KernelClocks::processor_time();
    self.processor_read = Some((processor, now));
    before.map_or(Duration::ZERO, |(before, _)| processor.saturating_sub(before))
  }
}
