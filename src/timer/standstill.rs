use super::*;

thread_local! {
  static WATCH: RefCell<Watch> = RefCell::default();
}

/// What is known of this process standing still: its machine was suspended, it was stopped, or it got no processor.
#[derive(Default)]
struct Watch {
  /// How far the clocks were apart at the last look.
  apart: Option<Duration>,
  /// How often it stood still.
  count: u64,
  looked_at: Option<Duration>,
  /// For how long it stood still, as far as nobody was told yet.
  untold: Duration,
}

/// The shortest suspension that counts: the clocks are read one after the other, and no bound is shorter.
const SUSPENDED_MIN: Duration = Duration::from_millis(20);

/// The pause between two looks from which the process counts as one that stood still: a daemon looks twenty times in
/// it, also on a busy machine.
const STILL_MIN: Duration = Duration::from_secs(1);

/// Looks whether the process stood still since the last look, and wakes whoever waits where it did: their time may be
/// over, and the event loop's clock does not tell. Returns how often it stood still so far.
pub(super) fn notice() -> u64 {
  let (whole, steady) = CLOCKS.with_borrow(|clocks| (clocks.whole(), clocks.steady()));
  let still = WATCH.with_borrow_mut(|watch| watch.look(whole, whole.saturating_sub(steady)));
  if still {
    Sleepers::wake();
  }
  count()
}

/// How often the process stood still, as far as anybody looked.
pub(super) fn count() -> u64 {
  WATCH.with_borrow(|watch| watch.count)
}

/// For how long the process stood still, where it did since this was asked last. To be asked every few milliseconds,
/// and before what is known is used.
pub fn stood_still() -> Option<Duration> {
  notice();
  let untold = WATCH.with_borrow_mut(|watch| std::mem::take(&mut watch.untold));
  (!untold.is_zero()).then_some(untold)
}

impl Watch {
  /// Whether the process stood still since the last look.
  fn look(&mut self, whole: Duration, apart: Duration) -> bool {
    let (before, looked_at) = (self.apart.replace(apart), self.looked_at.replace(whole));
    let suspended = before.map_or(Duration::ZERO, |before| apart.saturating_sub(before));
    let pause = looked_at.map_or(Duration::ZERO, |at| whole.saturating_sub(at));
    let still = if pause >= STILL_MIN { pause } else { suspended };
    if still < SUSPENDED_MIN {
      return false;
    }
    self.count += 1;
    self.untold += still;
    true
  }
}
