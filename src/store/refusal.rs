use super::*;

/// Why the store did not carry out a call. Nothing changed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "refused")]
pub enum Refusal {
  /// More changes came at once than a watch takes: read the newest.
  AnswerTooLarge {
    /// Most bytes that an answer may have.
    bytes_max: usize,
  },
  /// The revision that a watch goes on from is no longer known: read anew.
  Compacted,
  /// The key exists already.
  Exists,
  /// The call was not understood.
  Invalid {
    /// What was wrong.
    reason: String,
  },
  /// The lease has ended.
  LeaseEnded,
  /// The key has another revision, or none.
  RevisionMoved,
  /// Too many calls.
  TooMany {
    /// Milliseconds after which to call again.
    retry_after_ms: u64,
  },
  /// The value is larger than [`VALUE_BYTES_MAX`].
  ValueTooLarge,
  /// No connection could be made, so nothing was sent.
  Unreachable {
    /// What went wrong.
    reason: String,
  },
}

impl Display for Refusal {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::AnswerTooLarge { bytes_max } => {
        write!(f, "the answer is larger than {bytes_max} bytes: read only what is newest")
      }
      Self::Compacted => write!(f, "the store no longer knows that revision: read anew"),
      Self::Exists => write!(f, "the key exists already"),
      Self::Invalid { reason } => write!(f, "the store did not understand the call: {reason}"),
      Self::LeaseEnded => write!(f, "the lease has ended: take a new one"),
      Self::RevisionMoved => write!(f, "someone else wrote the key: read it and try again"),
      Self::TooMany { retry_after_ms } => {
        write!(f, "too many calls: call again after {retry_after_ms} ms")
      }
      Self::ValueTooLarge => write!(f, "the value is larger than {VALUE_BYTES_MAX} bytes"),
      Self::Unreachable { reason } => {
        write!(f, "the store cannot be reached ({reason}): check its address and state")
      }
    }
  }
}
