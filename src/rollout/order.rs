use super::*;

/// An operator's order to move the traffic of a service to another version of its software.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
  /// Milliseconds within which it should be done, or undone.
  #[serde(rename = "d")]
  pub duration_ms: u64,
  /// The service.
  #[serde(rename = "s")]
  pub service: ServiceName,
  /// The version that the service should run.
  #[serde(rename = "t")]
  pub target: SoftwareVersion,
}
