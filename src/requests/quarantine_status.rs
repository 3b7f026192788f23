use super::*;

/// Whether the quarantine lets a request run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
  /// It may run without restriction.
  Allowed,
  /// It may not run for now, for backend server processes crashed while they ran it.
  Held {
    /// Number of crashes.
    crashes: u32,
    /// Milliseconds after which to retry.
    retry_after_ms: u64,
  },
  /// It may run on its trial box, without another trial beside it.
  OnTrial,
}

impl Display for QuarantineStatus {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Allowed => f.pad("free"),
      Self::Held { retry_after_ms, .. } => write!(f, "held back for {retry_after_ms} ms"),
      Self::OnTrial => f.pad("tried at one box"),
    }
  }
}
