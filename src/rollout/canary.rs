use super::*;

/// The share of the requests that goes to the new version, and the boxes that take it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Canary {
  /// The boxes that take the share; all boxes of the new version if empty.
  #[serde(rename = "b", default, skip_serializing_if = "BTreeSet::is_empty")]
  pub boxes: BTreeSet<BoxId>,
  /// The share in requests per thousand.
  #[serde(rename = "p")]
  pub permille: u32,
  /// The index of the canary step.
  #[serde(rename = "r")]
  pub step_index: usize,
}
