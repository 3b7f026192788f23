use super::*;

/// The permissions of a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
  /// May change objects of every team, and the daemon itself.
  Administrator,
  /// May change objects of its own team.
  Editor,
  /// May only query.
  Reader,
}

impl FromStr for Role {
  type Err = String;

  fn from_str(text: &str) -> std::result::Result<Self, String> {
    match text {
      "administrator" => Ok(Self::Administrator),
      "editor" => Ok(Self::Editor),
      "reader" => Ok(Self::Reader),
      _ => Err(format!("`{text}` is not a role: give administrator, editor or reader")),
    }
  }
}
