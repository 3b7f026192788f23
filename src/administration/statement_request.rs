use super::*;

/// A call of the administration API.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StatementRequest {
  /// The id of the change, kept through every retry. Made here where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub change_id: Option<ChangeId>,
  /// The script.
  pub text: String,
}
