use super::*;

/// Why a text is not a value of its type.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// The text is not a digest.
  Digest {
    /// What was found.
    found: String,
  },
  /// The text is not a name.
  Name {
    /// What was found.
    found: String,
    /// What the name stands for, such as `box`.
    kind: &'static str,
  },
  /// The text is not a whole number.
  Number {
    /// What was found.
    found: String,
    /// What the number stands for, such as `version`.
    kind: &'static str,
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Digest { found } => write!(f, "`{found}` is not a digest: give 64 hexadecimal digits"),
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
