use super::*;

/// What the bearer of a token may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
  /// Change objects of every team, and the daemon itself.
  Administrator,
  /// Change objects of the own team.
  Editor,
  /// Ask.
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
