use super::*;

/// How far a roll-out has come.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
  /// A share of the requests goes to the new version.
  Canary(Canary),
  /// The new version is in force, and the store says so.
  Completed,
  /// All requests go to the new version, and the old one finishes what it has.
  Full,
  /// Nothing goes to the new version any more. The store does not say so yet.
  Halted {
    /// Why.
    reason: String,
  },
  /// Nothing goes to the new version any more, and the store says so.
  RolledBack {
    /// Why.
    reason: String,
  },
  /// Nothing goes to the new version yet: too few of its backend servers take work.
  Waiting,
}

impl Stage {
  /// Whether the roll-out is over. Nothing replaces that but another order.
  pub fn is_final(&self) -> bool {
    matches!(self, Self::Completed | Self::RolledBack { .. })
  }

  /// Whether nothing goes to the new version, and nothing will.
  pub fn is_undone(&self) -> bool {
    matches!(self, Self::Halted { .. } | Self::RolledBack { .. })
  }

  /// Requests in a thousand that go to the new version.
  pub fn permille(&self) -> u32 {
    match self {
      Self::Canary(canary) => canary.permille,
      Self::Completed | Self::Full => 1_000,
      Self::Halted { .. } | Self::RolledBack { .. } | Self::Waiting => 0,
    }
  }
}

impl Display for Stage {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Canary(canary) if canary.boxes.is_empty() => {
        write!(f, "{} of 1000 requests to the new version", canary.permille)
      }
      Self::Canary(canary) => {
        let boxes = canary.boxes.len();
        write!(f, "{} of 1000 requests to {boxes} boxes of the new version", canary.permille)
      }
      Self::Completed => f.pad("completed"),
      Self::Full => f.pad("all requests to the new version"),
      Self::Halted { reason } => write!(f, "halted: {reason}"),
      Self::RolledBack { reason } => write!(f, "rolled back: {reason}"),
      Self::Waiting => f.pad("waiting for backend servers of the new version"),
    }
  }
}
