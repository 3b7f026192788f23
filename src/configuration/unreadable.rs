use super::*;

/// Why a value is not taken for a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable {
  /// What is wrong with it, and where.
  pub reason: String,
  /// The version that it names, where that much could be read.
  pub version: Option<Version>,
}

impl Unreadable {
  /// A value of which not even the version is known.
  pub fn unknown_version(reason: impl Display) -> Self {
    Self { reason: reason.to_string(), version: None }
  }
}

impl Display for Unreadable {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(&self.reason)
  }
}
