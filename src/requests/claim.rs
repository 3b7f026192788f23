use super::*;

/// Takes the claim on a key in the store, and records later what became of the request.
///
/// A claim is taken by creating its record and is never taken over: whoever finds a record that is
/// not released does not run the request, whether the writer is alive, paused or dead. So no lease
/// and no clock is needed for a key to run at most once.
#[derive(Debug)]
pub struct Claim {
  deadline: Time,
  phase: Phase,
  rng: ChaCha8Rng,
  ticket: ClaimTicket,
  tries: u32,
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
  /// Leaves a released record where there is none, so that a late write of the claim is refused.
  Releasing {
    record: ClaimRecord,
  },
  Retaking,
  Verifying {
    record: ClaimRecord,
  },
  Waiting {
    then: Box<Phase>,
  },
}

impl Claim {
  /// Longest pause between two tries.
  const BACKOFF_MAX_MS: u64 = 200;

  /// A claim that should be settled before `deadline`.
  pub fn new(ticket: ClaimTicket, deadline: Time, unix_ms: u64, seed: u64) -> Self {
    Self {
      deadline,
      phase: Phase::Creating,
      rng: ChaCha8Rng::seed_from_u64(seed),
      ticket,
      tries: 0,
      unix_ms,
    }
  }

  /// Starts to take the claim.
  pub fn take(&mut self) -> ClaimStep {
    self.enter(Phase::Creating)
  }

  /// Starts to record what became of the request, once the claim is held at `revision`.
  pub fn record(
    &mut self,
    state: ClaimState,
    revision: Revision,
    deadline: Time,
    unix_ms: u64,
  ) -> ClaimStep {
    self.deadline = deadline;
    self.tries = 0;
    self.unix_ms = unix_ms;
    let record = self.own_record(state);
    self.enter(Phase::Recording { record, revision })
  }

  /// Starts to undo a claim of unknown fate, once the request is sure not to run.
  pub fn release(&mut self, deadline: Time, unix_ms: u64) -> ClaimStep {
    self.deadline = deadline;
    self.tries = 0;
    self.unix_ms = unix_ms;
    let record = self.own_record(ClaimState::Released);
    self.enter(Phase::Releasing { record })
  }

  /// Goes on after a pause.
  pub fn resumed(&mut self) -> ClaimStep {
    let phase = match self.phase.clone() {
      Phase::Waiting { then } => *then,
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

  /// Takes in the store's answer to the last call.
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
      Err(store::Error::Unknown { reason }) => self.again(now, Phase::Reading, &reason),
      Err(err) => self.again(now, Phase::Creating, &err.to_string()),
      Ok(other) => self.again(now, Phase::Reading, &format!("unexpected reply {other:?}")),
    }
  }

  fn read(&mut self, now: Time, result: store::Result<Reply>) -> ClaimStep {
    match result {
      Ok(Reply::Entry { entry: Some(entry), .. }) => self.found(&entry),
      Ok(_) => self.enter(Phase::Creating),
      Err(err) => self.again(now, Phase::Reading, &err.to_string()),
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

  /// Takes a claim that its last holder released.
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
      Err(err) => self.again(now, Phase::Reading, &err.to_string()),
      Ok(other) => self.again(now, Phase::Reading, &format!("unexpected reply {other:?}")),
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
      Err(err) => self.again(now, Phase::Verifying { record }, &err.to_string()),
    }
  }

  /// Finds out whether a record whose answer was lost was written.
  fn verified(
    &mut self,
    now: Time,
    result: store::Result<Reply>,
    record: ClaimRecord,
  ) -> ClaimStep {
    let entry = match result {
      Ok(Reply::Entry { entry: Some(entry), .. }) => entry,
      Ok(_) => return unrecorded("the claim is no longer in the store"),
      Err(err) => return self.again(now, Phase::Verifying { record }, &err.to_string()),
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

  fn again(&mut self, now: Time, phase: Phase, reason: &str) -> ClaimStep {
    if now >= self.deadline {
      return Self::give_up(&phase, reason);
    }
    let base_ms = (10 << self.tries.min(5)).min(Self::BACKOFF_MAX_MS);
    self.tries += 1;
    self.phase = Phase::Waiting { then: Box::new(phase) };
    ClaimStep::Wait { pause_ms: self.rng.random_range(base_ms / 2..=base_ms) }
  }

  /// Whatever the store did, this daemon has not sent the request and will not.
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
