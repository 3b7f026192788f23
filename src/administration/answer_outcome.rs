use super::*;

/// How a statement ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerOutcome {
  /// It was carried out.
  Done,
  /// It changed nothing.
  Refused,
  /// It may have taken effect.
  Unknown,
}
