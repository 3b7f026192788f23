use super::*;

/// Why a value could not be parsed as a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseError {
  /// What is wrong with the value, and where.
  pub reason: String,
  /// The version that the value names, if that could be read.
  pub version: Option<Version>,
}

impl ParseError {
  /// Creates an error for a value whose version could not be read.
  pub fn unknown_version(reason: impl Display) -> Self {
    Self { reason: reason.to_string(), version: None }
  }
}

impl Display for ParseError {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(&self.reason)
  }
}
