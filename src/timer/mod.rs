//! Timers that include the time for which the machine was suspended.
//!
//! The event loop waits by the kernel's monotonic clock, which excludes suspensions, but deadlines, leases and the age
//! of data go on meanwhile. So this module uses the clock that includes suspensions, and wakes all waiting tasks once it
//! detects one. `docs/design/time.md` lists what each use of time means.

use super::*;

use {self::sleepers::Sleepers, std::pin::pin};

pub use self::{
  clocks::Clocks,
  kernel_clocks::KernelClocks,
  process_pause::{Pause, take_pause},
  sleep::Sleep,
  stopwatch::Stopwatch,
};

mod clocks;
mod kernel_clocks;
mod process_pause;
mod sleep;
mod sleepers;
mod stopwatch;

thread_local! {
  static CLOCKS: RefCell<Rc<dyn Clocks>> = RefCell::new(Rc::new(KernelClocks));
}

/// The timeout expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

/// Replaces the clocks of this thread. Call it before anything on the thread uses the time.
pub fn install(clocks: Rc<dyn Clocks>) {
  CLOCKS.set(clocks);
}

/// Returns the time since a fixed moment, including suspensions.
pub fn now() -> Duration {
  CLOCKS.with_borrow(|clocks| clocks.boot_time())
}

/// Waits for a duration, including suspensions.
pub fn sleep(pause: Duration) -> Sleep {
  Sleep::new(pause)
}

/// Waits for a future, but no longer than `limit`.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
  let mut future = pin!(future);
  let mut limit = sleep(limit);
  std::future::poll_fn(move |context| {
    if let Poll::Ready(output) = future.as_mut().poll(context) {
      return Poll::Ready(Ok(output));
    }
    Pin::new(&mut limit).poll(context).map(|()| Err(Elapsed))
  })
  .await
}
