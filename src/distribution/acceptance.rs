use super::*;

/// Brings one operators' change into the store exactly once.
///
/// One compare-and-swap of the head accepts a change. The head lists the ids of the changes it
/// accepted, so that a writer whose answer was lost reads the head and knows. A compare-and-swap
/// whose fate is unknown can still take effect as long as the head has the revision it was sent
/// for; until the head has moved on, such a change ends as accepted or as unknown, never as refused.
#[derive(Debug)]
pub struct Acceptance {
  change: Change,
  deadline: Time,
  /// The newest configuration that this box holds, to start from.
  held: Option<Arc<Configuration>>,
  /// The revision of the head for which a write of unknown fate was sent.
  in_doubt: Option<Expected>,
  phase: Phase,
  rng: ChaCha8Rng,
  tries: u32,
}

/// What the head must be for a write of it to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expected {
  /// Not there.
  Absent,
  /// Of that revision.
  At(Revision),
}

/// A version ready to be written.
#[derive(Clone, Debug)]
struct Proposal {
  /// What the former snapshot's changes are archived as.
  archive: Option<(Key, String)>,
  head: Head,
  /// What the head must be when it is written.
  expected: Expected,
  /// The whole configuration, where the head names it as its snapshot.
  snapshot: Option<(Key, String)>,
}

#[derive(Debug)]
enum Phase {
  ReadingHead,
  ReadingSnapshot { head: Head, revision: Revision },
  Waiting,
  WritingArchive(Proposal),
  WritingHead(Proposal),
  WritingSnapshot(Proposal),
}

impl Acceptance {
  /// Longest pause between two tries.
  const BACKOFF_MAX_MS: u64 = 800;

  /// A change that should be accepted before `deadline`, by a daemon that holds `held`.
  pub fn new(change: Change, held: Option<Arc<Configuration>>, deadline: Time, seed: u64) -> Self {
    Self {
      change,
      deadline,
      held,
      in_doubt: None,
      phase: Phase::Waiting,
      rng: ChaCha8Rng::seed_from_u64(seed),
      tries: 0,
    }
  }

  /// Starts, or goes on after a pause.
  pub fn resumed(&mut self) -> AcceptanceStep {
    self.phase = Phase::ReadingHead;
    AcceptanceStep::Call(StoreRequest::Read { key: keys::head() })
  }

  /// Takes in the store's answer to the last call.
  pub fn answered(&mut self, now: Time, result: store::Result<Reply>) -> AcceptanceStep {
    match std::mem::replace(&mut self.phase, Phase::Waiting) {
      Phase::ReadingHead => self.head_read(now, result),
      Phase::ReadingSnapshot { head, revision } => self.snapshot_read(now, &result, head, revision),
      Phase::Waiting => self.resumed(),
      Phase::WritingArchive(proposal) => self.archive_written(now, result, proposal),
      Phase::WritingHead(proposal) => self.head_written(now, result, &proposal),
      Phase::WritingSnapshot(proposal) => self.snapshot_written(now, result, proposal),
    }
  }

  fn head_read(&mut self, now: Time, result: store::Result<Reply>) -> AcceptanceStep {
    let entry = match result {
      Ok(Reply::Entry { entry, .. }) => entry,
      Ok(_) => return refused(Refused::Unreadable { key: keys::head() }),
      Err(err) => return self.again(now, err),
    };
    let Some(entry) = entry else {
      return self.start_history();
    };
    let Ok(head) = entry.value.decode::<Head>() else {
      return refused(Refused::Unreadable { key: keys::head() });
    };
    if let Some(version) = head.version_of(&self.change.id) {
      return AcceptanceStep::Done(Outcome::Accepted { version });
    }
    if self.in_doubt.is_some_and(|doubted| doubted != Expected::At(entry.revision)) {
      self.in_doubt = None;
    }
    if let Some(refusal) = self.behind(head.version) {
      return refusal;
    }
    if let Some(base) = self.base_from_held(&head) {
      self.propose(&base, Some((head, entry.revision)))
    } else {
      let key = keys::snapshot(head.snapshot_version, &head.snapshot_digest);
      self.phase = Phase::ReadingSnapshot { head, revision: entry.revision };
      AcceptanceStep::Call(StoreRequest::Read { key })
    }
  }

  /// The store knows no version yet.
  fn start_history(&mut self) -> AcceptanceStep {
    if self.in_doubt.is_some_and(|doubted| doubted != Expected::Absent) {
      self.in_doubt = None;
    }
    if let Some(refusal) = self.behind(Version(0)) {
      return refusal;
    }
    self.propose(&Configuration::default(), None)
  }

  fn behind(&self, newest: Version) -> Option<AcceptanceStep> {
    let held = self.held.as_ref().map(|held| held.version).filter(|held| *held > newest)?;
    Some(refused(Refused::StoreBehind { held, newest }))
  }

  /// The store's newest configuration, made of the held one and the head's changes.
  fn base_from_held(&self, head: &Head) -> Option<Configuration> {
    let held = self.held.as_ref()?;
    if head.tail.first().is_some_and(|first| held.version.next() < first.version()) {
      return None;
    }
    let base = after_tail(held, head)?;
    (base.digest() == head.digest()).then_some(base)
  }

  fn snapshot_read(
    &mut self,
    now: Time,
    result: &store::Result<Reply>,
    head: Head,
    revision: Revision,
  ) -> AcceptanceStep {
    let entry = match result {
      Ok(Reply::Entry { entry: Some(entry), .. }) => entry,
      Ok(_) => return self.pause(),
      Err(err) => return self.again(now, err.clone()),
    };
    let snapshot: Option<Configuration> = entry.value.decode().ok();
    let base = snapshot.and_then(|snapshot| after_tail(&snapshot, &head));
    match base.filter(|base| base.digest() == head.digest()) {
      Some(base) => self.propose(&base, Some((head, revision))),
      None => refused(Refused::Unreadable { key: entry.key.clone() }),
    }
  }

  fn propose(&mut self, base: &Configuration, head: Option<(Head, Revision)>) -> AcceptanceStep {
    let history = head.as_ref().map_or(&[][..], |(head, _)| &head.history);
    let accepted = match base.accept(&self.change, history) {
      Ok(accepted) => accepted,
      Err(err) => return self.conflict(err),
    };
    let proposal = match Proposal::new(base, accepted, head) {
      Ok(proposal) => proposal,
      Err(err) => return refused(Refused::Configuration(err)),
    };
    if let Some((key, value)) = proposal.snapshot.clone() {
      self.phase = Phase::WritingSnapshot(proposal);
      return AcceptanceStep::Call(StoreRequest::Create { key, lease: None, value });
    }
    self.write_head(proposal)
  }

  /// The change does not hold on the newest version. Where a former write may still take effect,
  /// that is not known to be final.
  fn conflict(&mut self, err: configuration::Error) -> AcceptanceStep {
    if self.in_doubt.is_some() {
      return AcceptanceStep::Done(Outcome::Unknown { reason: err.to_string() });
    }
    refused(Refused::Configuration(err))
  }

  fn snapshot_written(
    &mut self,
    now: Time,
    result: store::Result<Reply>,
    proposal: Proposal,
  ) -> AcceptanceStep {
    if let Err(err) = created(result) {
      return self.again(now, err);
    }
    if let Some((key, value)) = proposal.archive.clone() {
      self.phase = Phase::WritingArchive(proposal);
      return AcceptanceStep::Call(StoreRequest::Create { key, lease: None, value });
    }
    self.write_head(proposal)
  }

  fn archive_written(
    &mut self,
    now: Time,
    result: store::Result<Reply>,
    proposal: Proposal,
  ) -> AcceptanceStep {
    match created(result) {
      Ok(()) => self.write_head(proposal),
      Err(err) => self.again(now, err),
    }
  }

  fn write_head(&mut self, proposal: Proposal) -> AcceptanceStep {
    let value = to_json(&proposal.head);
    let key = keys::head();
    let request = match proposal.expected {
      Expected::At(revision) => StoreRequest::CompareAndSwap { key, revision, value },
      Expected::Absent => StoreRequest::Create { key, lease: None, value },
    };
    self.phase = Phase::WritingHead(proposal);
    AcceptanceStep::Call(request)
  }

  fn head_written(
    &mut self,
    now: Time,
    result: store::Result<Reply>,
    proposal: &Proposal,
  ) -> AcceptanceStep {
    match result {
      Ok(_) => AcceptanceStep::Done(Outcome::Accepted { version: proposal.head.version }),
      Err(store::Error::Refused(Refusal::Exists | Refusal::RevisionMoved)) => self.resumed(),
      Err(err) => {
        if matches!(err, store::Error::Unknown { .. }) {
          self.in_doubt = Some(proposal.expected);
        }
        self.again(now, err)
      }
    }
  }

  /// Tries again after a pause, or ends where time is up.
  fn again(&mut self, now: Time, err: store::Error) -> AcceptanceStep {
    if now < self.deadline {
      return self.pause();
    }
    if self.in_doubt.is_some() {
      return AcceptanceStep::Done(Outcome::Unknown { reason: err.to_string() });
    }
    refused(Refused::Store(err))
  }

  fn pause(&mut self) -> AcceptanceStep {
    let base_ms = (20 << self.tries.min(6)).min(Self::BACKOFF_MAX_MS);
    self.tries += 1;
    self.phase = Phase::Waiting;
    AcceptanceStep::Wait { pause_ms: self.rng.random_range(base_ms / 2..=base_ms) }
  }
}

impl Proposal {
  fn new(
    base: &Configuration,
    accepted: AcceptedChange,
    head: Option<(Head, Revision)>,
  ) -> configuration::Result<Self> {
    let Some((head, revision)) = head else {
      let (snapshot, digest) = snapshot_of(base, &accepted)?;
      let empty = Head {
        history: Vec::new(),
        snapshot_digest: digest,
        snapshot_version: base.version,
        tail: Vec::new(),
        version: base.version,
      };
      let head = empty.with_snapshot(accepted);
      let expected = Expected::Absent;
      return Ok(Self { archive: None, expected, head, snapshot: Some(snapshot) });
    };
    let expected = Expected::At(revision);
    if !head.needs_snapshot(&accepted) {
      let head = head.with_change(accepted);
      return Ok(Self { archive: None, expected, head, snapshot: None });
    }
    let (snapshot, _) = snapshot_of(base, &accepted)?;
    let archive = Archive {
      snapshot_digest: head.snapshot_digest,
      snapshot_version: head.snapshot_version,
      tail: head.changes_since_snapshot().cloned().collect(),
    };
    Ok(Self {
      archive: Some((keys::archive(&archive), archive.encode())),
      expected,
      head: head.with_snapshot(accepted),
      snapshot: Some(snapshot),
    })
  }
}

fn after_tail(base: &Configuration, head: &Head) -> Option<Configuration> {
  let mut next = base.clone();
  for change in head.tail.iter().filter(|change| change.version() > base.version) {
    next = next.apply(change).ok()?;
  }
  Some(next)
}

fn snapshot_of(
  base: &Configuration,
  accepted: &AcceptedChange,
) -> configuration::Result<((Key, String), Digest)> {
  let next = base.apply(accepted)?;
  let key = keys::snapshot(next.version, &accepted.digest);
  Ok(((key, next.encode()), accepted.digest))
}

/// A value whose key tells its content may be there already.
fn created(result: store::Result<Reply>) -> store::Result {
  match result {
    Ok(_) | Err(store::Error::Refused(Refusal::Exists)) => Ok(()),
    Err(err) => Err(err),
  }
}

fn refused(refused: Refused) -> AcceptanceStep {
  AcceptanceStep::Done(Outcome::Refused(refused))
}
