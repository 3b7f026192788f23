use super::*;

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
  /// What is allowed there.
  pub allowed: String,
  /// What was found.
  pub found: String,
  /// Where, such as `$.backend_server.slots`.
  pub path: String,
}

impl Display for Fault {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}: found {}, allowed is {}", self.path, self.found, self.allowed)
  }
}
