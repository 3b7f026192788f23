use super::*;

/// What the daemon beside a backend server saw of it since a roll-out began. Each word of a box replaces the one
/// before.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Evidence {
  /// The box.
  #[serde(rename = "b")]
  pub box_id: BoxId,
  /// Whether nothing runs at the backend server and nothing will: its version is going out of force.
  #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
  pub closed: bool,
  /// The life of the box.
  #[serde(rename = "i")]
  pub incarnation: Incarnation,
  /// The roll-out that it is about, by the revision of its order.
  #[serde(rename = "r")]
  pub ordered_at: Revision,
  /// Grows with each word of one life.
  #[serde(rename = "n")]
  pub sequence: u64,
  /// The service.
  #[serde(rename = "s")]
  pub service: ServiceName,
  /// The version of the backend server.
  #[serde(rename = "v")]
  pub software: SoftwareVersion,
  /// What its answers came to, by route.
  #[serde(rename = "t")]
  pub tallies: BTreeMap<RouteName, Tally>,
}

impl Evidence {
  /// Whether this word replaces another one of the same box.
  pub fn is_newer_than(&self, other: &Self) -> bool {
    let rank = |evidence: &Self| (evidence.ordered_at, evidence.incarnation, evidence.sequence);
    rank(self) > rank(other)
  }
}
