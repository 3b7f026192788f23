use super::*;

/// Whether a request may be sent to backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
  /// It may, as any other.
  Free,
  /// It may not for now: processes of backend servers ended while they ran it.
  Held {
    /// How many.
    crashes: u32,
    /// Milliseconds until it may be tried again.
    retry_after_ms: u64,
  },
  /// It may be tried at one box, alone among its like.
  OnTrial,
}

impl Display for Standing {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Free => f.pad("free"),
      Self::Held { retry_after_ms, .. } => write!(f, "held back for {retry_after_ms} ms"),
      Self::OnTrial => f.pad("tried at one box"),
    }
  }
}
