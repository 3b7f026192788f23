use super::*;

/// A future that completes at a deadline, including suspensions of the machine.
pub struct Sleep {
  deadline: Duration,
  /// The event loop's timer, which excludes suspensions; `None` before the first poll.
  inner: Option<Pin<Box<monoio::time::Sleep>>>,
  sleeper: Option<u64>,
  /// Number of pauses of the process when the event loop's timer was started.
  pauses: u64,
}

impl Sleep {
  pub(super) fn new(pause: Duration) -> Self {
    Self { deadline: now().saturating_add(pause), inner: None, sleeper: None, pauses: 0 }
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
      let pauses = process_pause::count();
      if std::mem::replace(&mut self.pauses, pauses) != pauses {
        // The event loop's timer was started before the pause, and fires too late.
        self.inner = None;
      }
      let inner = self.inner.get_or_insert_with(|| Box::pin(monoio::time::sleep(left)));
      if inner.as_mut().poll(context).is_pending() {
        self.sleeper = Some(Sleepers::register(self.sleeper, context.waker()));
        return Poll::Pending;
      }
      // The event loop rounds to milliseconds: wait for the rest.
      self.inner = None;
    }
  }
}

impl Drop for Sleep {
  fn drop(&mut self) {
    if let Some(sleeper) = self.sleeper {
      Sleepers::remove(sleeper);
    }
  }
}
