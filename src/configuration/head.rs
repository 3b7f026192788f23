use super::*;

/// The store's record of the newest version. One compare-and-swap of it accepts a change.
///
/// The whole configuration of version `snapshot_version` is a value of its own; `tail` holds the
/// changes since then, and a few older ones, so that a watcher need not read the snapshot whenever
/// there is a new one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Head {
  /// The newest accepted changes, oldest first, at most [`Head::HISTORY_MAX`].
  pub history: Vec<Summary>,
  /// The digest of the snapshot.
  pub snapshot_digest: Digest,
  /// The version of the snapshot. Never above `version`.
  pub snapshot_version: Version,
  /// The last changes, without gaps up to `version`: all those above `snapshot_version`, and at most
  /// [`Head::TAIL_KEPT`] older ones.
  pub tail: Vec<AcceptedChange>,
  /// The newest version.
  pub version: Version,
}

impl Head {
  /// Accepted changes that history keeps.
  pub const HISTORY_MAX: usize = 200;
  /// Bytes of encoded changes above which the next change starts from a new snapshot.
  pub const TAIL_BYTES_MAX: usize = 64_000;
  /// Changes that stay in the tail although a snapshot holds their result.
  pub const TAIL_KEPT: usize = 4;
  /// Changes above which the next change starts from a new snapshot.
  pub const TAIL_MAX: usize = 32;

  /// The digest of the newest version.
  pub fn digest(&self) -> Digest {
    self.tail.last().map_or(self.snapshot_digest, |change| change.digest)
  }

  /// The head that follows once `change` is accepted.
  #[must_use]
  pub fn with(&self, change: AcceptedChange) -> Self {
    let mut next = self.clone();
    next.version = change.version();
    next.history.push(change.summary.clone());
    let surplus = next.history.len().saturating_sub(Self::HISTORY_MAX);
    next.history.drain(..surplus);
    next.tail.push(change);
    next
  }

  /// The head that follows once `change` is accepted and `configuration`, its result, is stored as
  /// the snapshot.
  #[must_use]
  pub fn with_snapshot(&self, change: AcceptedChange) -> Self {
    let (digest, version) = (change.digest, change.version());
    let mut next = self.with(change);
    next.snapshot_digest = digest;
    next.snapshot_version = version;
    let surplus = next.tail.len().saturating_sub(Self::TAIL_KEPT);
    next.tail.drain(..surplus);
    next
  }

  /// The changes above the snapshot.
  pub fn since_snapshot(&self) -> impl Iterator<Item = &AcceptedChange> {
    self.tail.iter().filter(|change| change.version() > self.snapshot_version)
  }

  /// Whether the tail has grown so long that the next change should store a snapshot.
  pub fn wants_snapshot(&self, change: &AcceptedChange) -> bool {
    if self.since_snapshot().count() >= Self::TAIL_MAX {
      return true;
    }
    let encoded = |change: &AcceptedChange| to_json(change).len();
    let bytes: usize = self.since_snapshot().map(encoded).sum();
    bytes + encoded(change) > Self::TAIL_BYTES_MAX
  }

  /// Whether the change of that id was accepted, and as which version, as far as history goes.
  pub fn version_of(&self, id: &ChangeId) -> Option<Version> {
    self.history.iter().find(|summary| summary.id == *id).map(|summary| summary.version)
  }
}
