use super::*;

/// A service: the backend servers that announce its name serve it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
  /// The team that may change the service.
  pub owner: Team,
  /// How its backend servers are used. Always a policy of the same configuration.
  pub policy: PolicyName,
}
