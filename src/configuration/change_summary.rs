use super::*;

/// The history's record of an accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ChangeSummary {
  /// The change's id.
  pub id: ChangeId,
  /// Who made the change.
  pub operator: Operator,
  /// The reason given by the operator.
  #[serde(default, skip_serializing_if = "String::is_empty")]
  pub reason: String,
  /// The statement that the operator gave, cut to [`ChangeSummary::STATEMENT_CHARS_MAX`].
  pub statement: String,
  /// The operator's team.
  pub team: Team,
  /// The objects that the change touched, at most [`ChangeSummary::TOUCHED_MAX`].
  pub touched: Vec<ObjectName>,
  /// When the change was made, in milliseconds since 1970 by the accepting daemon's clock.
  pub unix_ms: u64,
  /// The version that the change created.
  pub version: Version,
}

impl ChangeSummary {
  /// Largest number of characters of a recorded statement.
  pub const STATEMENT_CHARS_MAX: usize = 200;
  /// Largest number of recorded objects.
  pub const TOUCHED_MAX: usize = 16;

  /// Summarizes `change`, which created `version`.
  pub fn of(change: &Change, version: Version) -> Self {
    Self {
      id: change.id.clone(),
      operator: change.operator.clone(),
      reason: change.reason.clone(),
      statement: change.statement.chars().take(Self::STATEMENT_CHARS_MAX).collect(),
      team: change.team.clone(),
      touched: change.operations.iter().map(Operation::target).take(Self::TOUCHED_MAX).collect(),
      unix_ms: change.unix_ms,
      version,
    }
  }
}
