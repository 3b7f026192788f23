use super::*;

/// What one backend server last told of its room.
#[derive(Clone, Debug)]
pub(super) struct BackendRoom {
  pub data_hall: DataHall,
  /// Running and waiting requests in percent of the slots.
  pub load_percent: u32,
  /// Microseconds that a run takes there; 0 where that is unknown.
  pub service_us: u64,
  /// Thousandths of slots, weighted by the speed of the backend server; at least 1.
  pub speed_slots_thousandths: u64,
  /// When it told this.
  pub told_at: Time,
}

impl BackendRoom {
  /// Age in milliseconds at which a report no longer counts. Long enough that a box which takes a
  /// dozen requests a second hears of most backend servers of a large service.
  pub const AGE_MAX_MS: u64 = 3_000;

  /// Reads a report; `None` where it tells nothing of the room, as the backend server is cold.
  ///
  /// A refusal by a daemon that does not tell the load of the slots alone counts as one for lack of
  /// slots, whatever load was measured when it was sent.
  pub fn read(
    now: Time,
    endpoint: &Endpoint,
    condition: Condition,
    is_refusal: bool,
  ) -> Option<Self> {
    const FULL_PERCENT: u32 = 100;
    let least_percent = if is_refusal { FULL_PERCENT } else { 0 };
    let load_percent = match condition.slot_load {
      SlotLoad::Cold => return None,
      SlotLoad::Percent(load_percent) => load_percent,
      SlotLoad::Untold => condition.load_percent.max(least_percent),
    };
    let slowdown = condition.slowdown.unwrap_or_default();
    let speed_slots = u64::from(endpoint.slots.max(1)) * 100_000 / u64::from(slowdown.percent());
    Some(Self {
      data_hall: endpoint.peer.data_hall.clone(),
      load_percent,
      service_us: condition.service_us,
      speed_slots_thousandths: speed_slots.max(1),
      told_at: now,
    })
  }

  /// Whether no slot is free.
  pub fn is_full(&self) -> bool {
    self.load_percent >= 100
  }

  /// Returns the free slots in percent of all.
  pub fn free_percent(&self) -> u32 {
    100_u32.saturating_sub(self.load_percent)
  }

  /// Returns the microseconds for which a request that arrives now waits for a slot, if all that
  /// wait there go first; 0 where a slot is free.
  pub fn wait_us(&self) -> u64 {
    let waiting_percent = u64::from(self.load_percent.saturating_sub(100));
    self.service_us.saturating_mul(waiting_percent) / 100
  }
}
