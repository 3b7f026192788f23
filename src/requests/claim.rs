use super::*;

/// Takes the claim on an idempotency key in the store, and later records the request's outcome.
///
/// A claim is taken by creating its record and is never taken over: a daemon that finds a record
/// that is not released does not run the request, whether the writer is alive, paused or dead. So a
/// key runs at most once without relying on leases or clocks.
#[derive(Debug)]
pub struct Claim {
  deadline: Time,
  phase: Phase,
  rng: ChaCha8Rng,
  ticket: ClaimTicket,
  retries: u32,
  unix_ms: u64,
}

#[derive(Clone, Debug)]
enum Phase {
  Creating,
  Reading,
  Recording {
    record: ClaimRecord,
    revision: Revision,
  },
  /// Creates a released record where none exists, so that a delayed write of the claim fails.
  Releasing {
    record: ClaimRecord,
  },
  Retaking,
  Verifying {
    record: ClaimRecord,
  },
  Waiting {
    next: Box<Phase>,
  },
}

impl Claim {
  /// Longest pause between two store calls, in milliseconds.
  const BACKOFF_MAX_MS: u64 = 200;

  /// Creates a claim that should be settled before `deadline`; `seed` makes the back-off's random
  /// numbers repeatable.
  pub fn new(ticket: ClaimTicket, deadline: Time, unix_ms: u64, seed: u64) -> Self {
    Self {
      deadline,
      phase: Phase::Creating,
      rng: ChaCha8Rng::seed_from_u64(seed),
      ticket,
      retries: 0,
      unix_ms,
    }
  }

  /// Starts to take the claim.
  pub fn take(&mut self) -> ClaimStep {
    self.enter(Phase::Creating)
  }

  /// Starts to record the request's outcome in a claim that is held at `revision`.
  pub fn record(
    &mut self,
    state: ClaimState,
    revision: Revision,
    deadline: Time,
    unix_ms: u64,
  ) -> ClaimStep {
    self.deadline = deadline;
    self.retries = 0;
    self.unix_ms = unix_ms;
    let record = self.own_record(state);
    self.enter(Phase::Recording { record, revision })
  }

  /// Starts to release a claim that may or may not have been written, once the request is certain
  /// not to run.
  pub fn release(&mut self, deadline: Time, unix_ms: u64) -> ClaimStep {
    self.deadline = deadline;
    self.retries = 0;
    self.unix_ms = unix_ms;
    let record = self.own_record(ClaimState::Released);
    self.enter(Phase::Releasing { record })
  }

  /// Continues after a pause.
  pub fn resumed(&mut self) -> ClaimStep {
    let phase = match self.phase.clone() {
      Phase::Waiting { next } => *next,
      other => other,
    };
    self.enter(phase)
  }

  fn own_record(&self, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
      attempt: self.ticket.attempt.clone(),
      content: self.ticket.content,
      state,
      unix_ms: self.unix_ms,
    }
  }

  /// Enters a phase and returns the store call that it starts with.
  fn enter(&mut self, phase: Phase) -> ClaimStep {
    let key = self.ticket.store_key();
    let request = match &phase {
      Phase::Creating => {
        let value = encode(&self.own_record(ClaimState::Running));
        StoreRequest::Create { key, lease: None, value }
      }
      Phase::Releasing { record } => {
        StoreRequest::Create { key, lease: None, value: encode(record) }
      }
      Phase::Recording { record, revision } => {
        StoreRequest::CompareAndSwap { key, revision: *revision, value: encode(record) }
      }
      Phase::Reading | Phase::Retaking | Phase::Verifying { .. } | Phase::Waiting { .. } => {
        StoreRequest::Read { key }
      }
    };
    self.phase = phase;
    ClaimStep::Call(request)
  }

  /// Handles the store's answer to the last call.
  pub fn answered(&mut self, now: Time, result: store::Result<Reply>) -> ClaimStep {
    match self.phase.clone() {
      Phase::Creating => self.created(now, result),
      Phase::Reading => self.read(now, result),
      Phase::Recording { record, .. } | Phase::Releasing { record } => {
        self.recorded(now, result, record)
      }
      Phase::Retaking => self.retaken(now, result),
      Phase::Verifying { record } => self.verified(now, result, record),
      Phase::Waiting { .. } => self.resumed(),
    }
  }

  fn created(&mut self, now: Time, result: store::Result<Reply>) -> ClaimStep {
    match result {
      Ok(Reply::Written { revision }) => settled(ClaimOutcome::Held(revision)),
      Err(store::Error::Refused(Refusal::Exists)) => self.enter(Phase::Reading),
      Err(store::Error::Unknown { reason }) => self.retry(now, Phase::Reading, &reason),
      Err(err) => self.retry(now, Phase::Creating, &err.to_string()),
      Ok(other) => self.retry(now, Phase::Reading, &format!("unexpected reply {other:?}")),
    }
  }

  fn read(&mut self, now: Time, result: store::Result<Reply>) -> ClaimStep {
    match result {
      Ok(Reply::Entry { entry: Some(entry), .. }) => self.found(&entry),
      Ok(_) => self.enter(Phase::Creating),
      Err(err) => self.retry(now, Phase::Reading, &err.to_string()),
    }
  }

  fn found(&mut self, entry: &Entry) -> ClaimStep {
    let Ok(record) = entry.value.decode::<ClaimRecord>() else {
      let reason = format!("the value of {} cannot be read", entry.key);
      return settled(ClaimOutcome::Repeated(ClaimState::Unknown { reason }));
    };
    if record.content != self.ticket.content {
      return settled(ClaimOutcome::Mismatch);
    }
    let is_own = record.attempt == self.ticket.attempt;
    match record.state {
      ClaimState::Running if is_own => settled(ClaimOutcome::Held(entry.revision)),
      ClaimState::Released => self.retake(entry.revision),
      state => settled(ClaimOutcome::Repeated(state)),
    }
  }

  /// Takes a claim that its previous holder released.
  fn retake(&mut self, revision: Revision) -> ClaimStep {
    let value = encode(&self.own_record(ClaimState::Running));
    let key = self.ticket.store_key();
    self.phase = Phase::Retaking;
    ClaimStep::Call(StoreRequest::CompareAndSwap { key, revision, value })
  }

  fn retaken(&mut self, now: Time, result: store::Result<Reply>) -> ClaimStep {
    match result {
      Ok(Reply::Written { revision }) => settled(ClaimOutcome::Held(revision)),
      Err(store::Error::Refused(Refusal::RevisionMoved)) => self.enter(Phase::Reading),
      Err(err) => self.retry(now, Phase::Reading, &err.to_string()),
      Ok(other) => self.retry(now, Phase::Reading, &format!("unexpected reply {other:?}")),
    }
  }

  fn recorded(
    &mut self,
    now: Time,
    result: store::Result<Reply>,
    record: ClaimRecord,
  ) -> ClaimStep {
    match result {
      Ok(_) => settled(ClaimOutcome::Recorded),
      Err(err) => self.retry(now, Phase::Verifying { record }, &err.to_string()),
    }
  }

  /// Determines whether a write whose answer was lost took effect.
  fn verified(
    &mut self,
    now: Time,
    result: store::Result<Reply>,
    record: ClaimRecord,
  ) -> ClaimStep {
    let entry = match result {
      Ok(Reply::Entry { entry: Some(entry), .. }) => entry,
      Ok(_) => return unrecorded("the claim is no longer in the store"),
      Err(err) => return self.retry(now, Phase::Verifying { record }, &err.to_string()),
    };
    let Ok(found) = entry.value.decode::<ClaimRecord>() else {
      return unrecorded("the claim cannot be read");
    };
    if found.attempt != record.attempt {
      return unrecorded("the claim has another holder");
    }
    if found.state == ClaimState::Running {
      return self.enter(Phase::Recording { record, revision: entry.revision });
    }
    settled(ClaimOutcome::Recorded)
  }

  fn retry(&mut self, now: Time, phase: Phase, reason: &str) -> ClaimStep {
    if now >= self.deadline {
      return Self::give_up(&phase, reason);
    }
    let base_ms = (10 << self.retries.min(5)).min(Self::BACKOFF_MAX_MS);
    self.retries += 1;
    self.phase = Phase::Waiting { next: Box::new(phase) };
    ClaimStep::Wait { pause_ms: self.rng.random_range(base_ms / 2..=base_ms) }
  }

  /// Gives up after the deadline. A claim that was not taken is `NotRun`: whatever the store did,
  /// this daemon has not sent the request and will not.
  fn give_up(phase: &Phase, reason: &str) -> ClaimStep {
    if matches!(phase, Phase::Recording { .. } | Phase::Releasing { .. } | Phase::Verifying { .. })
    {
      return unrecorded(reason);
    }
    settled(ClaimOutcome::NotRun { reason: reason.into() })
  }
}

fn encode(record: &ClaimRecord) -> String {
  to_json(record)
}

fn settled(settlement: ClaimOutcome) -> ClaimStep {
  ClaimStep::Settled(settlement)
}

fn unrecorded(reason: &str) -> ClaimStep {
  settled(ClaimOutcome::Unrecorded { reason: reason.into() })
}
