use super::*;

/// Bounds the steps that a task takes without letting the event loop go on.
///
/// Invariant: `rest` is set from the last step of a turn until the rest is over.
pub struct Turns {
  rest: Option<Pin<Box<timer::Sleep>>>,
  steps: u32,
  steps_max: u32,
}

impl Turns {
  /// Duration of a rest. The event loop fires timers, and so ends a rest, only when no task is ready; a task that woke
  /// itself would always be ready.
  const REST: Duration = Duration::from_millis(1);

  /// Allows `steps_max` steps in a turn.
  pub const fn new(steps_max: u32) -> Self {
    Self { rest: None, steps: 0, steps_max }
  }

  /// Changes the number of steps in a turn.
  pub fn set_steps_max(&mut self, steps_max: u32) {
    self.steps_max = steps_max;
  }

  /// Ready if a step may be taken now. Otherwise the task is woken once the rest is over.
  pub fn poll_step(&mut self, context: &mut Context) -> Poll<()> {
    if self.steps >= self.steps_max && self.rest.is_none() {
      self.rest = Some(Box::pin(timer::sleep(Self::REST)));
    }
    if let Some(rest) = &mut self.rest {
      if rest.as_mut().poll(context).is_pending() {
        return Poll::Pending;
      }
      (self.rest, self.steps) = (None, 0);
    }
    Poll::Ready(())
  }

  /// Counts a step.
  pub fn count_step(&mut self) {
    self.steps += 1;
  }

  /// Ends the turn because the task waits for its peer. Has no effect during a rest.
  pub fn end(&mut self) {
    if self.rest.is_none() {
      self.steps = 0;
    }
  }
}
