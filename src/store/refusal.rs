use super::*;

/// Why the store didn't carry out a call. Nothing changed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "refused")]
pub enum Refusal {
  /// The answer is larger than the client accepts. After a watch, read the current values instead.
  AnswerTooLarge {
    /// The maximum size of an answer, in bytes.
    bytes_max: usize,
  },
  /// The store no longer holds the changes after the watch's revision. Read the current values
  /// instead.
  Compacted,
  /// The key already exists.
  Exists,
  /// The store can't parse the call.
  Invalid {
    /// The error.
    reason: String,
  },
  /// The lease has ended.
  LeaseEnded,
  /// The key has another revision, or doesn't exist.
  RevisionMoved,
  /// The store's rate limit is exceeded.
  TooMany {
    /// Milliseconds to wait before the next call.
    retry_after_ms: u64,
  },
  /// The value is larger than [`VALUE_BYTES_MAX`].
  ValueTooLarge,
  /// The connection failed, so nothing was sent.
  Unreachable {
    /// The error.
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
