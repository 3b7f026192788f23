use super::*;

/// The load that a backend server of a service can take while it is cold, such as after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
  /// Longest time that it stays cold, in milliseconds, if it does not report that itself.
  pub duration_ms: u64,
  /// Request rate that it can take from all daemons together. Above zero.
  pub rate: Rate,
}
