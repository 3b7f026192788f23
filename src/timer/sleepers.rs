use super::*;

use std::task::Waker;

thread_local! {
  static SLEEPERS: RefCell<Sleepers> = RefCell::default();
}

/// Whoever waits on this thread.
#[derive(Default)]
pub(super) struct Sleepers {
  last: u64,
  wakers: BTreeMap<u64, Waker>,
}

impl Sleepers {
  /// Notes by what a wait is woken. Returns its number.
  pub(super) fn note(known: Option<u64>, waker: &Waker) -> u64 {
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

  /// Wakes whoever waits, so that each looks at the time.
  pub(super) fn wake() {
    let wakers: Vec<Waker> = SLEEPERS.with_borrow(|one| one.wakers.values().cloned().collect());
    for waker in wakers {
      waker.wake();
    }
  }

  /// A wait is over.
  pub(super) fn forget(number: u64) {
    // On a thread that ends, nobody is left to be woken.
    SLEEPERS.try_with(|sleepers| sleepers.borrow_mut().wakers.remove(&number)).ok();
  }
}
