use super::*;

/// An accepted change with the version that it created. Its base and preconditions are dropped.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AcceptedChange {
  /// The digest of the configuration after the change.
  pub digest: Digest,
  /// The operations, in order.
  pub operations: Vec<Operation>,
  /// Who made the change, when and why.
  pub summary: ChangeSummary,
}

impl AcceptedChange {
  /// The version that the change created.
  pub fn version(&self) -> Version {
    self.summary.version
  }
}
