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
    /// Whether the box would take the request where nobody else does.
    #[serde(default)]
    declined: bool,
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
  /// A request that reached no backend server.
  pub fn not_run(reason: impl Into<String>, retry_after_ms: u64) -> Self {
    Self::NotRun { arrived: false, declined: false, reason: reason.into(), retry_after_ms }
  }

  /// A request that the box would take where nobody else does.
  pub fn declined(reason: impl Into<String>, retry_after_ms: u64) -> Self {
    Self::NotRun { arrived: false, declined: true, reason: reason.into(), retry_after_ms }
  }

  /// Whether the box would take the request where nobody else does.
  pub fn is_declined(&self) -> bool {
    matches!(self, Self::NotRun { declined: true, .. })
  }

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
