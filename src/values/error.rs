use super::*;

/// Error of parsing a value from text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// The text is not a digest.
  Digest {
    /// The text found.
    found: String,
  },
  /// There is no text where a name is expected.
  Empty {
    /// What is named, such as `box`.
    kind: &'static str,
  },
  /// The text is not a name.
  Name {
    /// The text found.
    found: String,
    /// What is named, such as `box`.
    kind: &'static str,
  },
  /// The text is not a whole number.
  Number {
    /// The text found.
    found: String,
    /// What the number means, such as `version`.
    kind: &'static str,
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Digest { found } => write!(f, "`{found}` is not a digest: give 64 hexadecimal digits"),
      Self::Empty { kind } => write!(f, "the {kind} name is empty: give a name"),
      Self::Name { found, kind } => write!(
        f,
        "`{found}` is not a {kind} name: give 1 to 63 of the characters a-z, A-Z, 0-9, `-`, `_`, `.`"
      ),
      Self::Number { found, kind } => {
        write!(f, "`{found}` is not a {kind}: give a whole number from 0")
      }
    }
  }
}

impl StdError for Error {}
