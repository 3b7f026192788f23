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
  /// Moving sum of the chances that calls would have been too late for their parents without free
  /// slots, which halves each [`Self::HALF_LIFE_MS`].
  risked: f64,
  risked_at: Time,
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
  /// Requests of callers that a call which is too late costs: that of its parent, and the one that
  /// could have run in the slot that its parent held.
  const PARENT_LOSS: f64 = 2.0;
  /// The most slots that may be left free for calls are all of them divided by this.
  const SLOTS_PARTS: usize = 3;

  /// Records that a call gets one of `slots` slots. When it arrived, its answer was due for its
  /// parent after `due_ms`.
  pub fn begin(&mut self, now: Time, ticket: Ticket, due_ms: u64, slots: usize) {
    self.running.insert(ticket);
    let risk = self.risk(due_ms, slots);
    self.add_risk(now, risk);
  }

  /// Records that a call waited for a slot in vain.
  pub fn miss(&mut self, now: Time) {
    self.add_risk(now, 1.0);
  }

  fn add_risk(&mut self, now: Time, risk: f64) {
    self.risked = Self::decayed(now, self.risked_at, self.risked) + risk;
    self.risked_at = now;
  }

  /// Returns the chance that a call is too late for its parent if it waits for the run of another
  /// request. Waits for the next of many slots are spread exponentially.
  #[allow(clippy::cast_precision_loss)]
  fn risk(&self, due_ms: u64, slots: usize) -> f64 {
    let next_slot_ms = self.other_ms / slots.max(1) as f64;
    let spare_ms = (due_ms as f64 - self.call_ms).max(0.0);
    if next_slot_ms > 0.0 { (-spare_ms / next_slot_ms).exp() } else { 0.0 }
  }

  /// Records that a request gives its slot back after `held_ms`.
  pub fn end(&mut self, now: Time, ticket: Ticket, held_ms: f64) {
    let is_call = self.running.remove(&ticket);
    let average = if is_call { &mut self.call_ms } else { &mut self.other_ms };
    let weight = if *average > 0.0 { Self::RUN_WEIGHT } else { 1.0 };
    *average += weight * (held_ms - *average);
    if is_call {
      self.held_ms = Self::decayed(now, self.seen_at, self.held_ms) + held_ms;
      self.seen_at = now;
    }
  }

  /// Returns how many of `slots` slots requests other than calls leave free.
  pub fn free_slots(&self, now: Time, slots: usize) -> usize {
    let usual = self.usual_slots(now);
    if !self.is_worth_it(now, usual) {
      return 0;
    }
    // Arrivals vary by the square root of their mean.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let needed = (usual + usual.sqrt()).round() as usize;
    needed.saturating_sub(self.running.len()).min(slots / Self::SLOTS_PARTS)
  }

  /// Whether free slots save more requests of callers than could run in them. Both count only while
  /// others wait, for as long. Of the slots left free, calls hold all but about the square root.
  fn is_worth_it(&self, now: Time, usual: f64) -> bool {
    let risked_per_ms = Self::per_ms(Self::decayed(now, self.risked_at, self.risked));
    // Nothing else ran yet.
    self.other_ms <= 0.0 || risked_per_ms * Self::PARENT_LOSS * self.other_ms > usual.sqrt()
  }

  /// Returns the slots that calls usually hold at once.
  pub fn usual_slots(&self, now: Time) -> f64 {
    Self::per_ms(Self::decayed(now, self.seen_at, self.held_ms))
  }

  /// Returns what is added to a moving sum in each millisecond. A constant 1 adds up to
  /// [`Self::HALF_LIFE_MS`] divided by the logarithm of 2.
  fn per_ms(sum: f64) -> f64 {
    sum * std::f64::consts::LN_2 / Self::HALF_LIFE_MS
  }

  /// Returns what is left of a moving sum as of `since`.
  #[allow(clippy::cast_precision_loss)]
  fn decayed(now: Time, since: Time, sum: f64) -> f64 {
    sum * (-(now.since_ms(since) as f64) / Self::HALF_LIFE_MS).exp2()
  }
}
