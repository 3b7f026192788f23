use super::*;

/// The value of an entry: text, or the reason why it can't be read.
///
/// An answer of the store holds items of several writers. An unreadable item is a value of its own,
/// so that the other items of the answer can still be read. The code that reads the entry decides
/// how to handle it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Value {
  /// The text that was written.
  Text(String),
  /// The bytes aren't valid UTF-8, or the item is malformed.
  Unreadable {
    /// The reason.
    unreadable: String,
  },
}

impl Value {
  /// Creates a value that can't be read, with the reason.
  pub fn unreadable(reason: impl Display) -> Self {
    Self::Unreadable { unreadable: reason.to_string() }
  }

  /// Returns the text, or why the value can't be read.
  pub fn text(&self) -> Result<&str, String> {
    match self {
      Self::Text(text) => Ok(text),
      Self::Unreadable { unreadable } => Err(unreadable.clone()),
    }
  }

  /// Decodes the text as JSON of type `T`.
  pub fn decode<T: DeserializeOwned>(&self) -> Result<T, String> {
    serde_json::from_str(self.text()?).map_err(|err| err.to_string())
  }
}

impl From<&str> for Value {
  fn from(text: &str) -> Self {
    Self::Text(text.into())
  }
}
