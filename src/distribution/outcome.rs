use super::*;

/// The outcome of a change that an operator submitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The change produced this version, in this attempt or an earlier one.
  Accepted {
    /// The version.
    version: Version,
  },
  /// The change did not take effect and cannot take effect later.
  Refused(RefusalReason),
  /// The change may have taken effect.
  Unknown {
    /// Why the outcome is unknown.
    reason: String,
  },
}

/// Why a change was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RefusalReason {
  /// The change is invalid.
  Configuration(configuration::Error),
  /// The store did not answer in time. The change may be submitted again.
  Store(store::Error),
  /// The store's newest version is older than the one that this box holds.
  StoreBehind {
    /// The version that this box holds.
    held: Version,
    /// The store's newest version.
    newest: Version,
  },
  /// The store holds a value that cannot be read.
  Unreadable {
    /// The key.
    key: Key,
  },
}

impl Display for RefusalReason {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Configuration(err) => err.fmt(f),
      Self::Store(store::Error::Refused(refusal)) => {
        write!(f, "nothing was changed: {refusal}; then state it again")
      }
      Self::Store(store::Error::Unknown { reason }) => write!(
        f,
        "nothing was changed: the store could not be read ({reason}); state it again once the store \
         answers"
      ),
      Self::StoreBehind { held, newest } => write!(
        f,
        "nothing was changed: the store's newest version is {newest} and this box holds {held}; \
         state `restore store` to write the held version back"
      ),
      Self::Unreadable { key } => {
        write!(f, "nothing was changed: the value of {key} cannot be read; repair it in the store")
      }
    }
  }
}

impl From<configuration::Error> for RefusalReason {
  fn from(err: configuration::Error) -> Self {
    Self::Configuration(err)
  }
}
