use super::*;

/// A key of the store, such as `configuration/head`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
  /// Makes a key of `parts`, joined by `/`.
  pub fn of(parts: &[&str]) -> Self {
    Self(parts.join("/"))
  }

  /// The key as text.
  pub fn as_str(&self) -> &str {
    &self.0
  }

  /// Whether the key starts with `prefix`.
  pub fn is_under(&self, prefix: &Key) -> bool {
    self.0.starts_with(&prefix.0)
  }
}

impl Display for Key {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}
