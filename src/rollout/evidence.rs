use super::*;

/// The answer counts of a backend server since a rollout began, as sent by its daemon. Newer evidence of a box
/// replaces older evidence.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Evidence {
  /// The box.
  #[serde(rename = "b")]
  pub box_id: BoxId,
  /// Whether the backend server runs no requests and will run none, as its version is being replaced.
  #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
  pub closed: bool,
  /// The incarnation of the box.
  #[serde(rename = "i")]
  pub incarnation: Incarnation,
  /// The rollout, identified by the store's revision of its order.
  #[serde(rename = "r")]
  pub order_revision: Revision,
  /// Grows with each report of one incarnation.
  #[serde(rename = "n")]
  pub sequence: u64,
  /// The service.
  #[serde(rename = "s")]
  pub service: ServiceName,
  /// The version of the backend server.
  #[serde(rename = "v")]
  pub software: SoftwareVersion,
  /// The counts of its answers, by route.
  #[serde(rename = "t")]
  pub tallies: BTreeMap<RouteName, Tally>,
}

impl Evidence {
  /// Whether this evidence replaces other evidence of the same box.
  pub fn is_newer_than(&self, other: &Self) -> bool {
    let rank = |evidence: &Self| (evidence.order_revision, evidence.incarnation, evidence.sequence);
    rank(self) > rank(other)
  }
}
