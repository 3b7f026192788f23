use super::*;

/// A fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
  /// Which values are allowed.
  pub allowed: String,
  /// The value that was found.
  pub found: String,
  /// The place in the file, such as `$.backend_server.slots`.
  pub path: String,
}

impl Display for Fault {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}: found {}, allowed is {}", self.path, self.found, self.allowed)
  }
}
