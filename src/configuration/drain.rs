use super::*;

/// An operator's order that a box receives no new requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
  /// The team that gave the order.
  pub owner: Team,
}
