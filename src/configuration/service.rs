use super::*;

/// A service. Backend servers that announce its name serve it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
  /// The load that a cold backend server takes; as much as a warm one where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub cold_start: Option<ColdStart>,
  /// Largest number of connections to a backend server; from its settings where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub connections: Option<u32>,
  /// The path of the backend servers' health check; from their settings where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub health_path: Option<String>,
  /// The team that may change the service.
  pub owner: Team,
  /// How its backend servers are used. Always a policy of the same configuration.
  pub policy: PolicyName,
}
