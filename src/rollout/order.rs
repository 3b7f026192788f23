use super::*;

/// An operator's order to move a service's traffic to another software version.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
  /// Milliseconds within which the rollout should be completed or rolled back.
  #[serde(rename = "d")]
  pub duration_ms: u64,
  /// The service.
  #[serde(rename = "s")]
  pub service: ServiceName,
  /// The version to roll out.
  #[serde(rename = "t")]
  pub target: SoftwareVersion,
}
