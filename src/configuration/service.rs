use super::*;

/// A service: the backend servers that announce its name serve it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
  /// What a cold backend server takes; as much as any other where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub cold_start: Option<ColdStart>,
  /// Connections that a backend server takes; what its settings say where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub connections: Option<u32>,
  /// The path of its backend servers' health endpoint; what their settings say where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub health_path: Option<String>,
  /// The team that may change the service.
  pub owner: Team,
  /// How its backend servers are used. Always a policy of the same configuration.
  pub policy: PolicyName,
}
