use super::*;

/// How urgent a request is: its rank, when its answer should be there, and until when it is worth
/// waiting for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
  /// When the answer should be there.
  pub due: Time,
  /// Until when waiting for a slot is worth it. Where it ends with `due`, it is worth it only as long as
  /// the answer can be in time; a call's ends later, for its parent has work behind it.
  pub patience: Time,
  /// The rank among requests for a service, 0 first.
  pub priority: u32,
}

impl Urgency {
  /// The part of its time for which a call of a running request waits. Refusing it would waste the
  /// work that its parent has behind it.
  const CALL_PART: f64 = 0.75;

  /// The urgency of a request of a rank that arrives now, `elapsed_ms` after its caller's first try. `is_call` says
  /// that a running request needs it.
  ///
  /// A caller counts from its first try: one that came back has less time until its answer is due. Once
  /// it is overdue it takes a slot that is free, and waits for none, so that it does not make others
  /// late too.
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
      let patience = now.after(part(left_ms, Self::CALL_PART));
      return Self { due: now.after(target_ms.min(left_ms)), patience, priority: 0 };
    }
    let due = now.after(target_ms.saturating_sub(elapsed_ms).min(left_ms));
    Self { due, patience: due, priority: rank }
  }
}

/// A part of a time.
pub(super) fn part(duration_ms: u64, part: f64) -> u64 {
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  let part_ms = (duration_ms as f64 * part) as u64;
  part_ms
}
