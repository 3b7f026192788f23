use super::*;

/// Writes one change of the operators to the store exactly once.
///
/// A change is accepted by one compare-and-swap of the head. The head lists the ids of the accepted
/// changes, so a writer that lost the answer can read the head to learn the outcome. A
/// compare-and-swap with an unknown outcome can still take effect while the head has the revision
/// that it expects. Until the head has moved on, such a change ends as accepted or unknown, never
/// as refused.
#[derive(Debug)]
pub struct Acceptance {
  change: Change,
  deadline: Time,
  /// The newest configuration that this box holds, used as the base.
  held: Option<Arc<Configuration>>,
  /// The state of the head that a write with an unknown outcome expects.
  in_doubt: Option<Expected>,
  phase: Phase,
  rng: ChaCha8Rng,
  attempts: u32,
}

/// The state of the head that a write requires to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expected {
  /// The key does not exist.
  Absent,
  /// The key has this revision.
  At(Revision),
}

/// A new version, ready to be written to the store.
#[derive(Clone, Debug)]
struct Proposal {
  /// The archive of the changes since the previous snapshot.
  archive: Option<(Key, String)>,
  head: Head,
  expected: Expected,
  /// The whole configuration, if the new head names it as its snapshot.
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
  /// Longest pause between two attempts, in milliseconds.
  const BACKOFF_MAX_MS: u64 = 800;

  /// Prepares to write `change` before `deadline`, on a daemon that holds `held`.
  pub fn new(change: Change, held: Option<Arc<Configuration>>, deadline: Time, seed: u64) -> Self {
    Self {
      change,
      deadline,
      held,
      in_doubt: None,
      phase: Phase::Waiting,
      rng: ChaCha8Rng::seed_from_u64(seed),
      attempts: 0,
    }
  }

  /// Starts, or continues after a pause.
  pub fn resume(&mut self) -> AcceptanceStep {
    self.phase = Phase::ReadingHead;
    AcceptanceStep::Call(StoreRequest::Read { key: keys::head() })
  }

  /// Handles the store's answer to the last call.
  pub fn answered(&mut self, now: Time, result: store::Result<Reply>) -> AcceptanceStep {
    match std::mem::replace(&mut self.phase, Phase::Waiting) {
      Phase::ReadingHead => self.head_read(now, result),
      Phase::ReadingSnapshot { head, revision } => self.snapshot_read(now, &result, head, revision),
      Phase::Waiting => self.resume(),
      Phase::WritingArchive(proposal) => self.archive_written(now, result, proposal),
      Phase::WritingHead(proposal) => self.head_written(now, result, &proposal),
      Phase::WritingSnapshot(proposal) => self.snapshot_written(now, result, proposal),
    }
  }

  fn head_read(&mut self, now: Time, result: store::Result<Reply>) -> AcceptanceStep {
    let entry = match result {
      Ok(Reply::Entry { entry, .. }) => entry,
      Ok(_) => return refused(RefusalReason::Unreadable { key: keys::head() }),
      Err(err) => return self.retry(now, err),
    };
    let Some(entry) = entry else {
      return self.start_history();
    };
    let Ok(head) = entry.value.decode::<Head>() else {
      return refused(RefusalReason::Unreadable { key: keys::head() });
    };
    if let Some(version) = head.version_of(&self.change.id) {
      return AcceptanceStep::Done(Outcome::Accepted { version });
    }
    if self.in_doubt.is_some_and(|in_doubt| in_doubt != Expected::At(entry.revision)) {
      self.in_doubt = None;
    }
    if let Some(refusal) = self.refuse_if_store_behind(head.version) {
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

  /// Proposes the first version, for a store that has none yet.
  fn start_history(&mut self) -> AcceptanceStep {
    if self.in_doubt.is_some_and(|in_doubt| in_doubt != Expected::Absent) {
      self.in_doubt = None;
    }
    if let Some(refusal) = self.refuse_if_store_behind(Version(0)) {
      return refusal;
    }
    self.propose(&Configuration::default(), None)
  }

  fn refuse_if_store_behind(&self, newest: Version) -> Option<AcceptanceStep> {
    let held = self.held.as_ref().map(|held| held.version).filter(|held| *held > newest)?;
    Some(refused(RefusalReason::StoreBehind { held, newest }))
  }

  /// Builds the store's newest configuration from the held one and the changes in the head.
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
      Err(err) => return self.retry(now, err.clone()),
    };
    let snapshot: Option<Configuration> = entry.value.decode().ok();
    let base = snapshot.and_then(|snapshot| after_tail(&snapshot, &head));
    match base.filter(|base| base.digest() == head.digest()) {
      Some(base) => self.propose(&base, Some((head, revision))),
      None => refused(RefusalReason::Unreadable { key: entry.key.clone() }),
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
      Err(err) => return refused(RefusalReason::Configuration(err)),
    };
    if let Some((key, value)) = proposal.snapshot.clone() {
      self.phase = Phase::WritingSnapshot(proposal);
      return AcceptanceStep::Call(StoreRequest::Create { key, lease: None, value });
    }
    self.write_head(proposal)
  }

  /// Ends a change that is invalid on the newest version. If an earlier write may still take
  /// effect, the outcome is unknown.
  fn conflict(&mut self, err: configuration::Error) -> AcceptanceStep {
    if self.in_doubt.is_some() {
      return AcceptanceStep::Done(Outcome::Unknown { reason: err.to_string() });
    }
    refused(RefusalReason::Configuration(err))
  }

  fn snapshot_written(
    &mut self,
    now: Time,
    result: store::Result<Reply>,
    proposal: Proposal,
  ) -> AcceptanceStep {
    if let Err(err) = created(result) {
      return self.retry(now, err);
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
      Err(err) => self.retry(now, err),
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
      Err(store::Error::Refused(Refusal::Exists | Refusal::RevisionMoved)) => self.resume(),
      Err(err) => {
        if matches!(err, store::Error::Unknown { .. }) {
          self.in_doubt = Some(proposal.expected);
        }
        self.retry(now, err)
      }
    }
  }

  /// Retries after a pause, or ends if the deadline has passed.
  fn retry(&mut self, now: Time, err: store::Error) -> AcceptanceStep {
    if now < self.deadline {
      return self.pause();
    }
    if self.in_doubt.is_some() {
      return AcceptanceStep::Done(Outcome::Unknown { reason: err.to_string() });
    }
    refused(RefusalReason::Store(err))
  }

  fn pause(&mut self) -> AcceptanceStep {
    let base_ms = (20 << self.attempts.min(6)).min(Self::BACKOFF_MAX_MS);
    self.attempts += 1;
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

/// Treats an existing value as created: the key determines the content.
fn created(result: store::Result<Reply>) -> store::Result {
  match result {
    Ok(_) | Err(store::Error::Refused(Refusal::Exists)) => Ok(()),
    Err(err) => Err(err),
  }
}

fn refused(refused: RefusalReason) -> AcceptanceStep {
  AcceptanceStep::Done(Outcome::Refused(refused))
}
