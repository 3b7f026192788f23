use super::*;

/// The version of a service that a request is routed to during a rollout.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lane {
  /// The version in force.
  #[default]
  InForce,
  /// The new version.
  Target,
}

impl Display for Lane {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.pad(match self {
      Self::InForce => "in force",
      Self::Target => "new",
    })
  }
}
