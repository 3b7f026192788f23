use super::*;

/// Why a call to the store failed. Code that retries must distinguish the two cases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// The store didn't carry out the call, so nothing changed.
  Refused(Refusal),
  /// The outcome is unknown: the call may have taken effect.
  Unknown {
    /// What went wrong.
    reason: String,
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Refused(refusal) => refusal.fmt(f),
      Self::Unknown { reason } => {
        write!(f, "the store gave no answer ({reason}): the call may have taken effect")
      }
    }
  }
}

impl StdError for Error {}

impl From<Refusal> for Error {
  fn from(refusal: Refusal) -> Self {
    Self::Refused(refusal)
  }
}
