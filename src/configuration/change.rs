use super::*;

/// An operator's change to the configuration: a transaction on a base version.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Change {
  /// The version that the operator saw. Changing an object that changed since then is a conflict.
  pub base: Version,
  /// Stays the same in retries, so that a retry detects whether the change took effect.
  pub id: ChangeId,
  /// The version that must be the newest one for the change to be accepted, if any.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub only_at: Option<Version>,
  /// The operations, in order. All of them take effect, or none.
  pub operations: Vec<Operation>,
  /// Who made the change.
  pub operator: Operator,
  /// The reason given by the operator.
  #[serde(default, skip_serializing_if = "String::is_empty")]
  pub reason: String,
  /// The statement that the operator gave.
  pub statement: String,
  /// The operator's team.
  pub team: Team,
  /// When the change was made, in milliseconds since 1970 by the accepting daemon's clock.
  pub unix_ms: u64,
}
