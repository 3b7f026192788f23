use super::*;

/// Maintains the daemon's own entry in the store, under a lease.
///
/// The entry is rewritten whenever the announced sequence increases. A write whose answer is lost
/// is repeated. Readers order entries by incarnation and sequence, so a late write is harmless.
#[derive(Clone, Debug, Default)]
pub struct Registration {
  failures: u32,
  lease: Option<LeaseId>,
  pending: Option<(u64, Pending)>,
  renewed_at: Time,
  /// Earliest time of the next call after a failure.
  retry_at: Time,
  /// Since when the entry in the store has been outdated.
  stale_since: Option<Time>,
  /// Whether the last entry that the store confirmed, since the daemon started, states that the box
  /// accepts requests.
  is_written_live: bool,
  /// The incarnation and sequence that the store last confirmed.
  written: Option<(Incarnation, u64)>,
  /// The store's revision of that write.
  written_at: Revision,
}

#[derive(Clone, Copy, Debug)]
enum Pending {
  Grant,
  /// The incarnation and sequence written, and whether the entry states that the box accepts
  /// requests.
  Put((Incarnation, u64), bool),
  Renew,
}

/// The result of a call of the registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationResult {
  /// The call succeeded.
  Done,
  /// The call failed or got an unexpected answer.
  Failed,
  /// The lease and the entry expired, so the box must be announced again.
  LeaseExpired,
}

impl Registration {
  /// Delay before an entry that states that the box accepts requests is written, to combine several
  /// updates into one write, in milliseconds.
  const GATHER_MS: u64 = 100;
  /// Shortest pause after a failure, in milliseconds: a few response times of a healthy store.
  const RETRY_MIN_MS: u64 = 100;
  /// Longest pause after a failure, in milliseconds. Entries that expired in an outage must be back
  /// within two seconds of its end.
  const RETRY_MAX_MS: u64 = 1_000;

  /// Whether the answer to `call` is outstanding.
  pub fn awaits(&self, call: u64) -> bool {
    self.pending.is_some_and(|(pending, _)| pending == call)
  }

  /// Returns the next call, if one is due. `entry` is the daemon's own endpoint; the lease is
  /// renewed every `renew_ms`. Until the store has an entry that states that the box accepts
  /// requests, an entry that states the opposite is delayed by `first_ms`: a backend server is
  /// usually found within that time, which saves a write.
  pub fn tick(
    &mut self,
    now: Time,
    call: u64,
    lease_ttl_ms: u64,
    renew_ms: u64,
    first_ms: u64,
    entry: &Endpoint,
  ) -> Option<StoreRequest> {
    if self.pending.is_some() || now < self.retry_at {
      return None;
    }
    let announced = (entry.incarnation, entry.sequence);
    let Some(lease) = self.lease else {
      self.pending = Some((call, Pending::Grant));
      self.renewed_at = now;
      return Some(StoreRequest::GrantLease { ttl_ms: lease_ttl_ms });
    };
    if self.written != Some(announced) {
      let since = *self.stale_since.get_or_insert(now);
      if now.since_ms(since) < self.gather_ms(entry.state, first_ms) {
        return None;
      }
      self.stale_since = None;
      let is_live = entry.state == EndpointState::Live;
      self.pending = Some((call, Pending::Put(announced, is_live)));
      let key = keys::endpoint(&entry.peer.box_id);
      return Some(StoreRequest::Put { key, lease: Some(lease), value: to_json(entry) });
    }
    if now.since_ms(self.renewed_at) >= renew_ms {
      self.pending = Some((call, Pending::Renew));
      self.renewed_at = now;
      return Some(StoreRequest::RenewLease { lease });
    }
    None
  }

  /// Returns the delay of the next write in milliseconds. That a box stops accepting requests is
  /// written at once.
  fn gather_ms(&self, state: EndpointState, first_ms: u64) -> u64 {
    match state {
      EndpointState::Live => Self::GATHER_MS,
      _ if !self.is_written_live => first_ms,
      _ => 0,
    }
  }

  /// Handles the answer to a call; returns `None` if the call was not made by this registration.
  pub fn answered(
    &mut self,
    now: Time,
    call: u64,
    result: &store::Result<Reply>,
    rng: &mut ChaCha8Rng,
  ) -> Option<RegistrationResult> {
    let (_, pending) = self.pending.take_if(|(own, _)| *own == call)?;
    match (pending, result) {
      (Pending::Grant, Ok(Reply::Lease { lease })) => self.lease = Some(*lease),
      (Pending::Put(announced, is_live), Ok(Reply::Written { revision })) => {
        self.is_written_live = is_live;
        self.written = Some(announced);
        self.written_at = *revision;
      }
      (Pending::Renew, Ok(Reply::Lease { .. })) => {}
      (_, Err(store::Error::Refused(Refusal::LeaseEnded))) => {
        self.lease = None;
        self.written = None;
        return Some(RegistrationResult::LeaseExpired);
      }
      _ => {
        self.fail(now, rng);
        return Some(RegistrationResult::Failed);
      }
    }
    self.failures = 0;
    Some(RegistrationResult::Done)
  }

  fn fail(&mut self, now: Time, rng: &mut ChaCha8Rng) {
    let base_ms = (Self::RETRY_MIN_MS << self.failures.min(4)).min(Self::RETRY_MAX_MS);
    self.failures = self.failures.saturating_add(1);
    self.retry_at = now.after(rng.random_range(base_ms / 2..=base_ms));
    // A failed renewal is repeated right after the pause.
    self.renewed_at = Time(0);
  }

  /// Returns the lease of the entry.
  pub fn lease(&self) -> Option<LeaseId> {
    self.lease
  }

  /// Whether the entry was deleted, given that a read of the store at `revision` did not contain
  /// it.
  pub fn is_missing_at(&self, revision: Revision) -> bool {
    self.written.is_some() && self.written_at < revision
  }

  /// Discards the lease and the entry, which the store has lost, and creates both again from `at`
  /// on. Answers to outstanding calls are ignored.
  pub fn reset(&mut self, at: Time) {
    // An entry that existed is rewritten at once, even if it states that the box accepts no
    // requests.
    let is_written_live = self.is_written_live || self.written.is_some();
    *self = Self { is_written_live, retry_at: at, ..Self::default() };
  }

  /// Makes the renewal of the lease due at once, after a pause of the process.
  pub fn renew_at_once(&mut self) {
    self.renewed_at = Time(0);
  }
}
