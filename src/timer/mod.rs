//! Time that passes, and waiting for it.
//!
//! A machine may be suspended. The kernel's steady clock, by which an event loop waits, leaves that time out; deadlines,
//! leases and the age of what is known go on. So everything here counts by the whole time, and whoever waits is woken
//! once a suspension is noticed. `docs/design/time.md` lists what each use of time means.

use super::*;

use {self::sleepers::Sleepers, std::pin::pin};

pub use self::{
  clocks::Clocks, kernel_clocks::KernelClocks, sleep::Sleep, standstill::stood_still,
  stopwatch::Stopwatch,
};

mod clocks;
mod kernel_clocks;
mod sleep;
mod sleepers;
mod standstill;
mod stopwatch;

thread_local! {
  static CLOCKS: RefCell<Rc<dyn Clocks>> = RefCell::new(Rc::new(KernelClocks));
}

/// The time ran out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

/// Takes other clocks for this thread, before anything on it uses the time.
pub fn install(clocks: Rc<dyn Clocks>) {
  CLOCKS.set(clocks);
}

/// The time since some fixed moment, by the clock that counts suspensions.
pub fn now() -> Duration {
  CLOCKS.with_borrow(|clocks| clocks.whole())
}

/// Waits.
pub fn sleep(pause: Duration) -> Sleep {
  Sleep::new(pause)
}

/// Waits for a future, for so long at most.
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
