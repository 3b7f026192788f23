use super::*;

/// The stage of a rollout.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
  /// A share of the requests goes to the new version.
  Canary(Canary),
  /// The new version is in force; the store has this record.
  Completed,
  /// All requests go to the new version, and the old one finishes its requests.
  Full,
  /// The new version gets no more requests; the store doesn't have this record yet.
  Halted {
    /// Why.
    reason: String,
  },
  /// The new version gets no more requests; the store has this record.
  RolledBack {
    /// Why.
    reason: String,
  },
  /// The new version gets no requests yet: too few of its backend servers take work.
  Waiting,
}

impl Stage {
  /// Whether the rollout has ended. Only another order replaces a final stage.
  pub fn is_final(&self) -> bool {
    matches!(self, Self::Completed | Self::RolledBack { .. })
  }

  /// Whether the new version gets no requests for good.
  pub fn is_undone(&self) -> bool {
    matches!(self, Self::Halted { .. } | Self::RolledBack { .. })
  }

  /// The new version's share, in requests per thousand.
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
