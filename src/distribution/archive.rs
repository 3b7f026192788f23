use super::*;

/// The changes that followed an older snapshot. Any past version can be rebuilt from its snapshot
/// and archive.
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
  /// Encodes the archive as JSON.
  pub fn encode(&self) -> String {
    to_json(self)
  }

  /// Returns the version after the last change of the archive.
  pub fn version(&self) -> Version {
    self.tail.last().map_or(self.snapshot_version, AcceptedChange::version)
  }
}
