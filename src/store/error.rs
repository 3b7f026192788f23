use super::*;

/// Why a call gave no reply. The two kinds must never be mixed up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// The call changed nothing.
  Refused(Refusal),
  /// The call may have taken effect or not.
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
