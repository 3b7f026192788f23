use super::*;

/// The changes that followed an older snapshot, kept so that any version in history can be made
/// again.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Archive {
  /// The digest of the snapshot.
  pub snapshot_digest: Digest,
  /// The version of the snapshot.
  pub snapshot_version: Version,
  /// The changes that followed, oldest first, without gaps.
  pub tail: Vec<AcceptedChange>,
}

impl Archive {
  /// The archive as JSON.
  pub fn encode(&self) -> String {
    to_json(self)
  }

  /// The last version that the archive leads to.
  pub fn version(&self) -> Version {
    self.tail.last().map_or(self.snapshot_version, AcceptedChange::version)
  }
}
