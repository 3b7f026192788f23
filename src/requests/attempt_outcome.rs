use super::*;

/// The outcome of one attempt at a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
  /// The backend server answered.
  Answered {
    /// The status of the answer.
    status: u16,
  },
  /// The request certainly did not run.
  NotRun {
    /// Whether the request reached a backend server that rejected it.
    #[serde(default)]
    arrived: bool,
    /// Whether the box would still accept the request where no other does.
    #[serde(default)]
    declined: bool,
    /// Why it did not run.
    reason: String,
    /// Milliseconds after which to retry.
    retry_after_ms: u64,
  },
  /// The request may have run.
  Unknown {
    /// Why the outcome is unknown.
    reason: String,
  },
}

impl AttemptOutcome {
  /// Returns the outcome of a request that reached no backend server.
  pub fn not_run(reason: impl Into<String>, retry_after_ms: u64) -> Self {
    Self::NotRun { arrived: false, declined: false, reason: reason.into(), retry_after_ms }
  }

  /// Returns the outcome of a request that the box would still accept where no other does.
  pub fn declined(reason: impl Into<String>, retry_after_ms: u64) -> Self {
    Self::NotRun { arrived: false, declined: true, reason: reason.into(), retry_after_ms }
  }

  /// Returns whether the box would still accept the request where no other does.
  pub fn is_declined(&self) -> bool {
    matches!(self, Self::NotRun { declined: true, .. })
  }

  /// Returns whether the request reached, or may have reached, a backend server.
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
