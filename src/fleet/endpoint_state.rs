use super::*;

/// Whether a box's backend server takes work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
  /// Finishes its requests and takes none; may take work again.
  Draining,
  /// Stops for good: this incarnation of the box takes no more work.
  Leaving,
  /// Takes work.
  Live,
  /// The box's relay no longer receives messages from it.
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
