use super::*;

/// The kind of a call to the store. The store answers calls of one kind in about the same time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
  /// Grants, renews or revokes a lease.
  Lease,
  /// Reads the current value of keys.
  Read,
  /// Waits for changes.
  Watch,
  /// Writes or deletes keys.
  Write,
}

impl CallKind {
  /// Returns the error of a call that failed after it `waited`, with `bytes` of the answer's body
  /// received. The error names all of them, because a refused connection, a silent store and a slow
  /// link look the same to the code that made the call.
  pub fn error_from(self, err: web::Error, waited: Duration, bytes: usize) -> Error {
    let failure = match err {
      // A read changes nothing, so its failure leaves no doubt about the state of the store.
      web::Error::TooLarge { bytes_max } if matches!(self, Self::Read | Self::Watch) => {
        return Refusal::AnswerTooLarge { bytes_max }.into();
      }
      other => Error::from(other),
    };
    let waited_ms = waited.as_millis();
    let detailed = |reason| format!("{self}: {reason}; waited {waited_ms} ms, {bytes} bytes came");
    match failure {
      Error::Unknown { reason } => Error::Unknown { reason: detailed(reason) },
      Error::Refused(Refusal::Unreachable { reason }) => {
        Refusal::Unreachable { reason: detailed(reason) }.into()
      }
      Error::Refused(_) => failure,
    }
  }
}

impl Display for CallKind {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::Lease => "lease",
      Self::Read => "read",
      Self::Watch => "watch",
      Self::Write => "write",
    })
  }
}
