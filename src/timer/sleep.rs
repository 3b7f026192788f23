use super::*;

/// A wait until some moment, by the clock that counts suspensions.
pub struct Sleep {
  deadline: Duration,
  /// The event loop's own wait, by its steady clock; nothing before the first poll.
  inner: Option<Pin<Box<monoio::time::Sleep>>>,
  sleeper: Option<u64>,
  /// How often the process had stood still when the event loop's wait began.
  standstills: u64,
}

impl Sleep {
  pub(super) fn new(pause: Duration) -> Self {
    Self { deadline: now().saturating_add(pause), inner: None, sleeper: None, standstills: 0 }
  }
}

impl Future for Sleep {
  type Output = ();

  fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
    loop {
      let left = self.deadline.saturating_sub(now());
      if left.is_zero() {
        return Poll::Ready(());
      }
      let standstills = standstill::count();
      if std::mem::replace(&mut self.standstills, standstills) != standstills {
        // The event loop's wait began before that, and ends too late.
        self.inner = None;
      }
      let inner = self.inner.get_or_insert_with(|| Box::pin(monoio::time::sleep(left)));
      if inner.as_mut().poll(context).is_pending() {
        self.sleeper = Some(Sleepers::note(self.sleeper, context.waker()));
        return Poll::Pending;
      }
      // The event loop rounds to milliseconds: the rest is waited for anew.
      self.inner = None;
    }
  }
}

impl Drop for Sleep {
  fn drop(&mut self) {
    if let Some(sleeper) = self.sleeper {
      Sleepers::forget(sleeper);
    }
  }
}
