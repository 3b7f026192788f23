use super::*;

/// Decides how many slots of a backend server other requests leave free for calls of running
/// requests, by the calls that came lately.
///
/// A call that finds all slots taken waits for the run of another request, while its own parent
/// holds a slot elsewhere.
#[derive(Clone, Debug, Default)]
pub struct CallReserve {
  /// Moving average of the milliseconds for which a call holds a slot; 0 before the first one.
  call_ms: f64,
  /// Moving sum of the milliseconds for which calls held slots, which halves each
  /// [`Self::HALF_LIFE_MS`].
  held_ms: f64,
  /// Moving average of the milliseconds for which another request holds a slot; 0 before the first
  /// one.
  other_ms: f64,
  /// Calls that hold a slot.
  running: BTreeSet<Ticket>,
  seen_at: Time,
}

impl CallReserve {
  /// Time in milliseconds over which past calls lose half of their weight: much longer than a call
  /// takes, and short enough to follow changes of the load.
  const HALF_LIFE_MS: f64 = 1_000.0;
  /// Weight of the newest run in the averages.
  const RUN_WEIGHT: f64 = 0.1;
  /// Part of a call's run time up to which the wait for the next slot hardly delays the call, so
  /// that no slot is left free for it.
  const SHORT_WAIT: f64 = 0.5;
  /// The most slots that may be left free for calls are all of them divided by this.
  const SLOTS_PARTS: usize = 3;

  /// Records that a call gets a slot.
  pub fn begin(&mut self, ticket: Ticket) {
    self.running.insert(ticket);
  }

  /// Records that a request gives its slot back after `held_ms`.
  pub fn end(&mut self, now: Time, ticket: Ticket, held_ms: f64) {
    let is_call = self.running.remove(&ticket);
    let average = if is_call { &mut self.call_ms } else { &mut self.other_ms };
    let weight = if *average > 0.0 { Self::RUN_WEIGHT } else { 1.0 };
    *average += weight * (held_ms - *average);
    if is_call {
      self.held_ms = self.decayed_ms(now) + held_ms;
      self.seen_at = now;
    }
  }

  /// Returns how many of `slots` slots requests other than calls leave free.
  pub fn free_slots(&self, now: Time, slots: usize) -> usize {
    if self.is_wait_short(slots) {
      return 0;
    }
    let usual = self.usual_slots(now);
    // Arrivals vary by the square root of their mean.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let needed = (usual + usual.sqrt()).round() as usize;
    needed.saturating_sub(self.running.len()).min(slots / Self::SLOTS_PARTS)
  }

  /// Whether other requests end so often that a call soon gets one of their slots.
  #[allow(clippy::cast_precision_loss)]
  fn is_wait_short(&self, slots: usize) -> bool {
    let next_slot_ms = self.other_ms / slots.max(1) as f64;
    self.other_ms > 0.0 && next_slot_ms < self.call_ms * Self::SHORT_WAIT
  }

  /// Returns the slots that calls usually hold at once. A slot that is always held adds
  /// [`Self::HALF_LIFE_MS`] divided by the logarithm of 2 to the moving sum.
  pub fn usual_slots(&self, now: Time) -> f64 {
    self.decayed_ms(now) * std::f64::consts::LN_2 / Self::HALF_LIFE_MS
  }

  #[allow(clippy::cast_precision_loss)]
  fn decayed_ms(&self, now: Time) -> f64 {
    let age_ms = now.since_ms(self.seen_at) as f64;
    self.held_ms * (-age_ms / Self::HALF_LIFE_MS).exp2()
  }
}
