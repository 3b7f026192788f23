use super::*;

/// How daemons use the backend servers of a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
  /// Largest number of attempts per request, including the first. From 1 to 10.
  pub attempts: u32,
  /// Milliseconds that a request may take where the caller gives no deadline. At least 1.
  pub deadline_ms: u64,
  /// The team that may change the policy.
  pub owner: Team,
  /// Largest number of requests that wait for a slot of one backend server.
  pub queue_length: u32,
}
