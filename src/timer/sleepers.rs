use super::*;

use std::task::Waker;

thread_local! {
  static SLEEPERS: RefCell<Sleepers> = RefCell::default();
}

/// The tasks that wait for a time on this thread.
#[derive(Default)]
pub(super) struct Sleepers {
  last: u64,
  wakers: BTreeMap<u64, Waker>,
}

impl Sleepers {
  /// Registers the waker of a wait, or replaces that of a known one. Returns the number of the wait.
  pub(super) fn register(known: Option<u64>, waker: &Waker) -> u64 {
    SLEEPERS.with_borrow_mut(|sleepers| {
      let number = known.unwrap_or_else(|| {
        sleepers.last += 1;
        sleepers.last
      });
      match sleepers.wakers.get_mut(&number) {
        Some(known) => known.clone_from(waker),
        None => drop(sleepers.wakers.insert(number, waker.clone())),
      }
      number
    })
  }

  /// Wakes all waiting tasks, so that each checks the time.
  pub(super) fn wake_all() {
    let wakers: Vec<Waker> = SLEEPERS.with_borrow(|one| one.wakers.values().cloned().collect());
    for waker in wakers {
      waker.wake();
    }
  }

  /// Removes a wait.
  pub(super) fn remove(number: u64) {
    // While the thread exits, the table may be gone already.
    SLEEPERS.try_with(|sleepers| sleepers.borrow_mut().wakers.remove(&number)).ok();
  }
}
