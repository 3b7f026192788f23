use super::*;

/// The value of an entry: text, or what another writer left in its place.
///
/// An answer of the store holds items of several writers. One that cannot be read is a value of its own, so
/// that it hides no other item of the answer; whoever reads the entry decides what it means.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Value {
  /// What a writer put there.
  Text(String),
  /// The bytes are no text, or the item lacks what makes one.
  Unreadable {
    /// What is wrong with it.
    unreadable: String,
  },
}

impl Value {
  /// A value that cannot be read, and why.
  pub fn unreadable(reason: impl Display) -> Self {
    Self::Unreadable { unreadable: reason.to_string() }
  }

  /// The text, or why there is none.
  pub fn text(&self) -> Result<&str, String> {
    match self {
      Self::Text(text) => Ok(text),
      Self::Unreadable { unreadable } => Err(unreadable.clone()),
    }
  }

  /// What the text holds as JSON, or why it holds no such thing.
  pub fn decode<T: DeserializeOwned>(&self) -> Result<T, String> {
    serde_json::from_str(self.text()?).map_err(|err| err.to_string())
  }
}

impl From<&str> for Value {
  fn from(text: &str) -> Self {
    Self::Text(text.into())
  }
}
