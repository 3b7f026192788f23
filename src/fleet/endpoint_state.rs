use super::*;

/// What a backend server can do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
  /// Finishes the work it has and takes none; may come back.
  Draining,
  /// Stops for good: this life of the box takes no work again.
  Leaving,
  /// Takes work.
  Live,
  /// Its relay no longer hears from the box.
  Lost,
}

impl EndpointState {
  /// Whether the box is out of the fleet.
  pub fn is_gone(self) -> bool {
    matches!(self, Self::Leaving | Self::Lost)
  }
}

impl Display for EndpointState {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.pad(match self {
      Self::Draining => "draining",
      Self::Leaving => "leaving",
      Self::Live => "live",
      Self::Lost => "lost",
    })
  }
}
