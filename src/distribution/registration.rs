use super::*;

/// How a daemon keeps its own entry in the store, under a lease.
///
/// The entry is written again whenever the announced sequence moves on. A write whose answer is lost
/// is repeated; readers order entries by incarnation and sequence, so a late one harms nothing.
#[derive(Clone, Debug, Default)]
pub struct Registration {
  failures: u32,
  lease: Option<LeaseId>,
  pending: Option<(u64, Pending)>,
  renewed_at: Time,
  /// When the next call may be made after a failure.
  retry_at: Time,
  /// Since when the entry in the store is behind.
  stale_since: Option<Time>,
  /// Whether the entry that the store last confirmed in this life says that the box takes work.
  is_written_live: bool,
  /// The incarnation and sequence that the store last confirmed.
  written: Option<(Incarnation, u64)>,
  /// The store's revision at that write.
  written_at: Revision,
}

#[derive(Clone, Copy, Debug)]
enum Pending {
  Grant,
  /// What is written, and whether it says that the box takes work.
  Put((Incarnation, u64), bool),
  Renew,
}

/// What the answer to a call means for the registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Registered {
  /// The call did its work.
  Done,
  /// No usable answer came.
  Failed,
  /// The lease ended, and the entry with it: announce the box anew.
  Lapsed,
}

impl Registration {
  /// Milliseconds for which good news about the box is gathered before it is written.
  const GATHER_MS: u64 = 100;
  /// Shortest pause after a failure, in milliseconds: a few answer times of a healthy store.
  const RETRY_MIN_MS: u64 = 100;
  /// Longest pause after a failure, in milliseconds. Entries that lapsed in an outage must be back
  /// within two seconds of its end.
  const RETRY_MAX_MS: u64 = 1_000;

  /// Whether an answer to `call` is due.
  pub fn awaits(&self, call: u64) -> bool {
    self.pending.is_some_and(|(pending, _)| pending == call)
  }

  /// The next call, where one is due. `entry` is the daemon's own endpoint; the lease is renewed every
  /// `renew_ms`. Where the store has no entry yet that says that the box takes work, one that says that it
  /// does not waits for `first_ms`: a backend server is usually found within that time, and both are one
  /// write.
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

  /// Milliseconds for which news is gathered. That a box takes no more work is written at once.
  fn gather_ms(&self, state: EndpointState, first_ms: u64) -> u64 {
    match state {
      EndpointState::Live => Self::GATHER_MS,
      _ if !self.is_written_live => first_ms,
      _ => 0,
    }
  }

  /// Takes in the answer to one of the registration's calls; nothing where the call is not its own.
  pub fn answered(
    &mut self,
    now: Time,
    call: u64,
    result: &store::Result<Reply>,
    rng: &mut ChaCha8Rng,
  ) -> Option<Registered> {
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
        return Some(Registered::Lapsed);
      }
      _ => {
        self.fail(now, rng);
        return Some(Registered::Failed);
      }
    }
    self.failures = 0;
    Some(Registered::Done)
  }

  fn fail(&mut self, now: Time, rng: &mut ChaCha8Rng) {
    let base_ms = (Self::RETRY_MIN_MS << self.failures.min(4)).min(Self::RETRY_MAX_MS);
    self.failures = self.failures.saturating_add(1);
    self.retry_at = now.after(rng.random_range(base_ms / 2..=base_ms));
    // A renewal without an answer is repeated at once after the pause.
    self.renewed_at = Time(0);
  }

  /// The lease that the entry goes with.
  pub fn lease(&self) -> Option<LeaseId> {
    self.lease
  }

  /// Whether the entry is gone, where a read of the store at `revision` did not show it.
  pub fn is_missing_at(&self, revision: Revision) -> bool {
    self.written.is_some() && self.written_at < revision
  }

  /// The store forgot the lease, and the entry with it: both are made anew from `at` on. What is under way says
  /// nothing any more.
  pub fn start_over(&mut self, at: Time) {
    // An entry that was there is written at once, also where it says that the box takes no work.
    let is_written_live = self.is_written_live || self.written.is_some();
    *self = Self { is_written_live, retry_at: at, ..Self::default() };
  }

  /// A call that is out too long, after the process stood still, counts as failed.
  pub fn wake(&mut self) {
    self.renewed_at = Time(0);
  }
}
