use super::*;

/// How urgent a request is: its rank, when its answer should be there, and until when it is worth
/// waiting for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
  /// When the answer should be there.
  pub due: Time,
  /// Until when waiting for a slot is worth it.
  pub patience: Time,
  /// The rank among requests for a service, 0 first.
  pub priority: u32,
}

impl Urgency {
  /// The part of its target within which a request is refused, where it cannot be served: a caller
  /// that hears so early can still be served in time by coming back.
  const REFUSAL_PART: f64 = 0.25;
  /// The part of that time that is left for the refusal's own way back.
  const WAY_BACK_PART: f64 = 0.1;
  /// The part of its time for which a call of a running request waits. Refusing it would waste the
  /// work that its parent has behind it.
  const CALL_PART: f64 = 0.75;

  /// The urgency of a request that arrives now. `is_call` says that a running request needs it.
  pub fn of(now: Time, deadline: Time, handling: &Handling, is_call: bool) -> Self {
    let left_ms = deadline.since_ms(now);
    let target_ms = handling.target_ms.unwrap_or(left_ms);
    let early = Self::REFUSAL_PART * (1.0 - Self::WAY_BACK_PART);
    let patience_ms = match handling.target_ms {
      _ if is_call => part(left_ms, Self::CALL_PART),
      Some(target_ms) => part(target_ms, early).min(left_ms),
      None => left_ms,
    };
    Self {
      due: now.after(target_ms.min(left_ms)),
      patience: now.after(patience_ms),
      priority: if is_call { 0 } else { handling.priority },
    }
  }
}

/// A part of a time.
pub(super) fn part(duration_ms: u64, part: f64) -> u64 {
  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  let part_ms = (duration_ms as f64 * part) as u64;
  part_ms
}
