use super::*;

/// A share of the requests that goes to the new version.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Canary {
  /// The boxes that take the share; all that run the new version where there are none.
  #[serde(rename = "b", default, skip_serializing_if = "BTreeSet::is_empty")]
  pub boxes: BTreeSet<BoxId>,
  /// Requests in a thousand.
  #[serde(rename = "p")]
  pub permille: u32,
  /// Which rung of the plan this is.
  #[serde(rename = "r")]
  pub rung: usize,
}
