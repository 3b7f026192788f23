use super::*;

/// The outcome of a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerOutcome {
  /// The statement was carried out.
  Done,
  /// The statement was refused and changed nothing.
  Refused,
  /// The statement may have taken effect.
  Unknown,
}
