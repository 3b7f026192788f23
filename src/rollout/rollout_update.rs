use super::*;

/// The status of a rollout, as sent between boxes.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RolloutUpdate {
  /// Milliseconds since the operator's order.
  #[serde(rename = "a")]
  pub age_ms: u64,
  /// The decider's heartbeat counter for one record; other boxes detect a failed decider when it stops growing.
  #[serde(rename = "b")]
  pub heartbeat: u64,
  /// The rollout's state.
  #[serde(rename = "r")]
  pub record: Record,
}
