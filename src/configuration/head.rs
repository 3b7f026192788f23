use super::*;

/// The store's record of the newest version. A change is accepted by one compare-and-swap of it.
///
/// The complete configuration of version `snapshot_version` is stored under a key of its own.
/// `tail` holds the changes since then and a few older ones, so that a watcher that is only a few
/// versions behind need not read a new snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Head {
  /// The newest accepted changes, oldest first, at most [`Head::HISTORY_MAX`].
  pub history: Vec<ChangeSummary>,
  /// The digest of the snapshot.
  pub snapshot_digest: Digest,
  /// The version of the snapshot. Never above `version`.
  pub snapshot_version: Version,
  /// The last changes, up to `version` without gaps: all after `snapshot_version`, and at most
  /// [`Head::TAIL_RETAINED`] older ones.
  pub tail: Vec<AcceptedChange>,
  /// The newest version.
  pub version: Version,
}

impl Head {
  /// Largest number of changes in the history.
  pub const HISTORY_MAX: usize = 200;
  /// Bytes of encoded changes since the snapshot above which the next change stores a new snapshot.
  pub const TAIL_BYTES_MAX: usize = 64_000;
  /// Changes that are retained in the tail when a snapshot that contains them is stored.
  pub const TAIL_RETAINED: usize = 4;
  /// Number of changes since the snapshot at which the next change stores a new snapshot.
  pub const TAIL_MAX: usize = 32;

  /// The digest of the newest version.
  pub fn digest(&self) -> Digest {
    self.tail.last().map_or(self.snapshot_digest, |change| change.digest)
  }

  /// Returns the head after `change` is accepted.
  #[must_use]
  pub fn with_change(&self, change: AcceptedChange) -> Self {
    let mut next = self.clone();
    next.version = change.version();
    next.history.push(change.summary.clone());
    let surplus = next.history.len().saturating_sub(Self::HISTORY_MAX);
    next.history.drain(..surplus);
    next.tail.push(change);
    next
  }

  /// Returns the head after `change` is accepted and its result is stored as the snapshot.
  #[must_use]
  pub fn with_snapshot(&self, change: AcceptedChange) -> Self {
    let (digest, version) = (change.digest, change.version());
    let mut next = self.with_change(change);
    next.snapshot_digest = digest;
    next.snapshot_version = version;
    let surplus = next.tail.len().saturating_sub(Self::TAIL_RETAINED);
    next.tail.drain(..surplus);
    next
  }

  /// The changes after the snapshot.
  pub fn changes_since_snapshot(&self) -> impl Iterator<Item = &AcceptedChange> {
    self.tail.iter().filter(|change| change.version() > self.snapshot_version)
  }

  /// Whether the tail is so long that `change` should be stored with a new snapshot.
  pub fn needs_snapshot(&self, change: &AcceptedChange) -> bool {
    if self.changes_since_snapshot().count() >= Self::TAIL_MAX {
      return true;
    }
    let encoded = |change: &AcceptedChange| to_json(change).len();
    let bytes: usize = self.changes_since_snapshot().map(encoded).sum();
    bytes + encoded(change) > Self::TAIL_BYTES_MAX
  }

  /// The version that the change of that id created; `None` if the history does not contain it.
  pub fn version_of(&self, id: &ChangeId) -> Option<Version> {
    self.history.iter().find(|summary| summary.id == *id).map(|summary| summary.version)
  }
}
