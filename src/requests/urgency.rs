use super::*;

/// The priority of a request, when its answer is due, and how long it may wait for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
  /// When the answer is due.
  pub due: Time,
  /// Estimated milliseconds since its caller's first try; 0 for a first try.
  pub elapsed_ms: u64,
  /// Whether a running request needs it.
  pub is_call: bool,
  /// The rank among the requests of a service, 0 first.
  pub priority: u32,
  /// Until when the request may wait for a slot. If this equals `due`, it waits only while its
  /// answer can be in time. It is later for a call of a running request, to save the work already
  /// done.
  pub wait_until: Time,
}

impl Urgency {
  /// The fraction of its remaining time for which a call of a running request may wait. A refusal
  /// would waste the work that the running request has done.
  const CALL_WAIT_FRACTION: f64 = 0.75;

  /// Limits the urgency of a call by its parent, which is due at `parent_due` at the latest, if
  /// that is known. The call's run is expected to take `usual_ms`: if it waited longer than that
  /// allows, its answer would be too late for its parent.
  #[must_use]
  pub fn within_parent(self, deadline: Time, parent_due: Option<Time>, usual_ms: u64) -> Self {
    let Some(parent_due) = parent_due.filter(|_| self.is_call) else {
      return self;
    };
    let latest = Time(deadline.min(parent_due).0.saturating_sub(usual_ms));
    let (due, wait_until) = (self.due.min(parent_due), self.wait_until.min(latest));
    Self { due, wait_until, ..self }
  }

  /// Makes a call due no later than its parent, which should be answered at `parent_due`, if that
  /// is known.
  #[must_use]
  pub fn due_with_parent(self, parent_due: Option<Time>) -> Self {
    let parent_due = parent_due.filter(|_| self.is_call);
    Self { due: parent_due.map_or(self.due, |parent_due| self.due.min(parent_due)), ..self }
  }

  /// Returns the urgency of a request that arrives now, `elapsed_ms` after its caller's first try.
  /// `is_call` tells that a running request made it.
  ///
  /// The due time counts from the caller's first try, so a retry has less time left. An overdue
  /// request takes a free slot but doesn't wait for one, so that it doesn't delay others.
  pub fn of(
    now: Time,
    deadline: Time,
    handling: &Handling,
    rank: u32,
    is_call: bool,
    elapsed_ms: u64,
  ) -> Self {
    let left_ms = deadline.since_ms(now);
    let target_ms = handling.target_ms.unwrap_or(left_ms);
    if is_call {
      let wait_until = now.after(fraction_of(left_ms, Self::CALL_WAIT_FRACTION));
      let due = now.after(target_ms.min(left_ms));
      return Self { due, elapsed_ms, is_call, priority: 0, wait_until };
    }
    let due = now.after(target_ms.saturating_sub(elapsed_ms).min(left_ms));
    Self { due, elapsed_ms, is_call, priority: rank, wait_until: due }
  }
}

/// Returns a fraction of a duration.
pub(super) fn fraction_of(duration_ms: u64, fraction: f64) -> u64 {
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  let fraction_ms = (duration_ms as f64 * fraction) as u64;
  fraction_ms
}
