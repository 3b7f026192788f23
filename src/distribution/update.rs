use super::*;

/// An update of a daemon to a newer version. It is applied completely or not at all.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
  /// The changes since a version that the receiver holds.
  Delta {
    /// The digest that the receiver's version must have.
    base_digest: Digest,
    /// The receiver's version.
    base: Version,
    /// The changes, oldest first, without gaps.
    changes: Vec<AcceptedChange>,
  },
  /// Consecutive patches, the first based on a version that the receiver holds.
  Patches(Vec<Patch>),
  /// A whole version with the changes that follow it.
  Snapshot {
    /// The changes that follow, oldest first, without gaps.
    changes: Vec<AcceptedChange>,
    /// The configuration.
    configuration: Arc<Configuration>,
    /// Its digest.
    digest: Digest,
    /// The last changes that led to it, oldest first.
    history: Vec<ChangeSummary>,
  },
}

impl Update {
  /// Returns the version that the update leads to.
  pub fn version(&self) -> Version {
    match self {
      Self::Delta { base, changes, .. } => changes.last().map_or(*base, AcceptedChange::version),
      Self::Patches(patches) => patches.last().map_or(Version(0), |patch| patch.version),
      Self::Snapshot { changes, configuration, .. } => {
        changes.last().map_or(configuration.version, AcceptedChange::version)
      }
    }
  }
}
