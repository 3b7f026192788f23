use super::*;

/// Acquires a relay slot of the daemon's data hall and holds it by a lease in the store.
///
/// Two daemons that both believe they hold a slot are harmless: an update is applied only if it is
/// newer, and both distribute the same accepted versions.
#[derive(Clone, Debug, Default)]
pub struct Election {
  phase: Phase,
  /// Consecutive failed attempts.
  failures: u32,
}

#[derive(Clone, Debug, Default)]
enum Phase {
  Creating {
    call: u64,
    lease: LeaseId,
    since: Time,
    slot: RelaySlot,
  },
  Granting {
    call: u64,
    since: Time,
    slot: RelaySlot,
  },
  Holding {
    lease: LeaseId,
    renewal: Option<u64>,
    renewed_at: Time,
    slot: RelaySlot,
  },
  #[default]
  Idle,
  Listing {
    call: u64,
  },
  Waiting {
    until: Time,
  },
}

/// The data hall in which an election takes place.
pub(super) struct Hall {
  /// Number of boxes in the data hall.
  pub(super) boxes: usize,
  /// The time to live of a lease, in milliseconds.
  pub(super) lease_ttl_ms: u64,
  /// This daemon's box.
  pub(super) own: Peer,
}

/// A step that an election asks its caller to handle.
pub(super) enum Step {
  /// Call the store.
  Call(StoreRequest),
  /// The slot was acquired.
  Won(RelaySlot),
  /// The lease ended, and the slot is no longer held.
  Lost(RelaySlot),
  /// The relay entries of the data hall in the store.
  RelaysListed(Vec<Entry>),
}

impl Election {
  /// Range of the candidates' random delay per box of the data hall, in milliseconds.
  const SPREAD_PER_BOX_MS: u64 = 16;
  /// Minimum range of the candidates' random delay, in milliseconds.
  const SPREAD_MIN_MS: u64 = 300;

  /// Returns the held slot.
  pub fn held(&self) -> Option<&RelaySlot> {
    match &self.phase {
      Phase::Holding { slot, .. } => Some(slot),
      _ => None,
    }
  }

  /// Returns the next call, if one is due. `vacant` is whether the data hall has a slot without a
  /// known holder.
  pub(super) fn tick(
    &mut self,
    now: Time,
    vacant: bool,
    call: u64,
    hall: &Hall,
    rng: &mut ChaCha8Rng,
  ) -> Option<Step> {
    match &mut self.phase {
      Phase::Holding { lease, renewal: renewal @ None, renewed_at, .. }
        if now.since_ms(*renewed_at) >= hall.lease_ttl_ms / 3 =>
      {
        *renewal = Some(call);
        *renewed_at = now;
        Some(Step::Call(StoreRequest::RenewLease { lease: *lease }))
      }
      Phase::Idle if vacant => {
        let spread_ms = Self::SPREAD_MIN_MS.max(Self::SPREAD_PER_BOX_MS * hall.boxes as u64);
        let delay_ms = rng.random_range(0..=spread_ms << self.failures.min(4));
        self.phase = Phase::Waiting { until: now.after(delay_ms) };
        None
      }
      Phase::Waiting { .. } if !vacant => {
        self.phase = Phase::Idle;
        None
      }
      Phase::Waiting { until } if now >= *until => {
        self.phase = Phase::Listing { call };
        Some(Step::Call(StoreRequest::List { prefix: keys::relays_of(&hall.own.data_hall) }))
      }
      _ => None,
    }
  }

  /// Handles the answer to a call; returns `None` if the call was not made by this election.
  pub(super) fn answered(
    &mut self,
    now: Time,
    call: u64,
    result: &store::Result<Reply>,
    next_call: u64,
    hall: &Hall,
  ) -> Option<Vec<Step>> {
    match std::mem::take(&mut self.phase) {
      Phase::Listing { call: own_call } if own_call == call => {
        Some(self.listed(now, result, next_call, hall))
      }
      Phase::Granting { call: own_call, since, slot } if own_call == call => {
        Some(self.granted(since, result, slot, next_call, hall))
      }
      Phase::Creating { call: own_call, lease, since, slot } if own_call == call => {
        Some(self.created(since, result, lease, slot))
      }
      Phase::Holding { lease, renewal: Some(renewal), renewed_at, slot } if renewal == call => {
        Some(self.renewed(result, lease, renewed_at, slot))
      }
      other => {
        self.phase = other;
        None
      }
    }
  }

  fn listed(
    &mut self,
    now: Time,
    result: &store::Result<Reply>,
    call: u64,
    hall: &Hall,
  ) -> Vec<Step> {
    let Ok(Reply::Entries { entries, .. }) = result else {
      self.failures += 1;
      return Vec::new();
    };
    let seen = Step::RelaysListed(entries.clone());
    let mut relays = Relays::default();
    for entry in entries {
      let peer = entry.value.decode().ok();
      let slot = keys::slot_of(&entry.key);
      if let Some((slot, peer)) = slot.zip(peer) {
        relays.set(slot, Some(peer));
      }
    }
    let Some(slot) = relays.free_slot(&hall.own.data_hall, Relays::slot_count(hall.boxes)) else {
      self.failures = 0;
      return vec![seen];
    };
    self.phase = Phase::Granting { call, since: now, slot };
    vec![seen, Step::Call(StoreRequest::GrantLease { ttl_ms: hall.lease_ttl_ms })]
  }

  fn granted(
    &mut self,
    since: Time,
    result: &store::Result<Reply>,
    slot: RelaySlot,
    call: u64,
    hall: &Hall,
  ) -> Vec<Step> {
    let Ok(Reply::Lease { lease }) = result else {
      self.failures += 1;
      return Vec::new();
    };
    let key = keys::relay(&slot);
    self.phase = Phase::Creating { call, lease: *lease, since, slot };
    let value = to_json(&hall.own);
    vec![Step::Call(StoreRequest::Create { key, lease: Some(*lease), value })]
  }

  fn created(
    &mut self,
    since: Time,
    result: &store::Result<Reply>,
    lease: LeaseId,
    slot: RelaySlot,
  ) -> Vec<Step> {
    if result.is_err() {
      self.failures += 1;
      return vec![Step::Call(StoreRequest::RevokeLease { lease })];
    }
    self.failures = 0;
    self.phase = Phase::Holding { lease, renewal: None, renewed_at: since, slot: slot.clone() };
    vec![Step::Won(slot)]
  }

  /// Gives up the slot only if the store reports that the lease ended. While the store is down, no
  /// other daemon can acquire the slot, so failed renewals are ignored.
  fn renewed(
    &mut self,
    result: &store::Result<Reply>,
    lease: LeaseId,
    renewed_at: Time,
    slot: RelaySlot,
  ) -> Vec<Step> {
    if matches!(result, Err(store::Error::Refused(Refusal::LeaseEnded))) {
      return vec![Step::Lost(slot)];
    }
    self.phase = Phase::Holding { lease, renewal: None, renewed_at, slot };
    Vec::new()
  }

  /// Releases the slot, for a planned stop.
  pub(super) fn resign(&mut self) -> Option<StoreRequest> {
    match std::mem::take(&mut self.phase) {
      Phase::Holding { lease, .. } => Some(StoreRequest::RevokeLease { lease }),
      _ => None,
    }
  }
}
