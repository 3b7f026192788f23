use super::*;

/// What a backend server of a service takes while it is cold, as after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
  /// Milliseconds for which it stays cold at most, where it does not tell.
  pub duration_ms: u64,
  /// Requests that it can take from all daemons together. Above zero.
  pub rate: Rate,
}
