use super::*;

/// A key of the store, such as `configuration/head`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
  /// Joins `parts` with `/`.
  pub fn of(parts: &[&str]) -> Self {
    Self(parts.join("/"))
  }

  /// Returns the key as text.
  pub fn as_str(&self) -> &str {
    &self.0
  }

  /// Returns whether the key starts with `prefix`.
  pub fn is_under(&self, prefix: &Key) -> bool {
    self.0.starts_with(&prefix.0)
  }
}

impl Display for Key {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}
