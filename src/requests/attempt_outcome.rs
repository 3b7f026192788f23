use super::*;

/// What is known of one try at a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
  /// The backend server answered.
  Answered {
    /// The status of the answer.
    status: u16,
  },
  /// The request truly did not run.
  NotRun {
    /// Whether the request reached a backend server, which rejected it.
    #[serde(default)]
    arrived: bool,
    /// Why.
    reason: String,
    /// Milliseconds after which to come back.
    retry_after_ms: u64,
  },
  /// The request may have run.
  Unknown {
    /// Why.
    reason: String,
  },
}

impl AttemptOutcome {
  /// Whether the request reached a backend server, or may have.
  pub fn arrived(&self) -> bool {
    match self {
      Self::Answered { .. } | Self::Unknown { .. } => true,
      Self::NotRun { arrived, .. } => *arrived,
    }
  }
}

impl Display for AttemptOutcome {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Answered { status } => write!(f, "answered with {status}"),
      Self::NotRun { reason, .. } => write!(f, "not run: {reason}"),
      Self::Unknown { reason } => write!(f, "unknown: {reason}"),
    }
  }
}
