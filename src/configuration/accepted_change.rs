use super::*;

/// A change with the version that it made. The base and demands of the change no longer matter.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AcceptedChange {
  /// The digest of the configuration that the change made.
  pub digest: Digest,
  /// The steps, in order.
  pub operations: Vec<Operation>,
  /// Who made the change, when and why.
  pub summary: Summary,
}

impl AcceptedChange {
  /// The version that the change made.
  pub fn version(&self) -> Version {
    self.summary.version
  }
}
