use super::*;

/// What a call to the store is for. Calls of a kind take about the same time to answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
  /// Makes, renews or ends a lease.
  Lease,
  /// Reads keys as they are.
  Read,
  /// Waits for changes.
  Watch,
  /// Writes or removes keys.
  Write,
}

impl CallKind {
  /// The error of a call that came to nothing after it `waited`, when `bytes` of its answer's body had
  /// come. All of it goes into the log: a refused connection, a silent store and a narrow link look alike
  /// to callers.
  pub fn failure(self, err: web::Error, waited: Duration, bytes: usize) -> Error {
    let failure = match err {
      // Reads change nothing, so what came of them is certain.
      web::Error::TooLarge { bytes_max } if matches!(self, Self::Read | Self::Watch) => {
        return Refusal::AnswerTooLarge { bytes_max }.into();
      }
      other => Error::from(other),
    };
    let waited_ms = waited.as_millis();
    let told = |reason| format!("{self}: {reason}; waited {waited_ms} ms, {bytes} bytes came");
    match failure {
      Error::Unknown { reason } => Error::Unknown { reason: told(reason) },
      Error::Refused(Refusal::Unreachable { reason }) => {
        Refusal::Unreachable { reason: told(reason) }.into()
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
