use super::*;

/// Why an update was not applied. The held version is unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// The update is not newer than the held version.
  Backwards {
    /// The version held.
    held: Version,
    /// The version offered.
    offered: Version,
  },
  /// The update is older than a version that this box may have held before a restart.
  BelowFloor {
    /// The lowest version that the box may apply.
    floor: Version,
    /// The version offered.
    offered: Version,
  },
  /// The content is invalid.
  Configuration(configuration::Error),
  /// The version is held with different content.
  Fork {
    /// The version.
    version: Version,
  },
  /// The update cannot be unpacked.
  Corrupt {
    /// Why it cannot be unpacked.
    reason: String,
  },
  /// The update starts from a version that is not held.
  Gap {
    /// The version that the update starts from.
    base: Version,
    /// The version held.
    held: Option<Version>,
  },
  /// A source holds a value that is not a configuration.
  Unreadable(ParseError),
  /// The directory holds a value that is not the entry of a box.
  UnreadableEntry(UnreadableEntry),
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Backwards { held, offered } => {
        write!(f, "version {offered} is not newer than the held version {held}")
      }
      Self::BelowFloor { floor, offered } => write!(
        f,
        "version {offered} is below {floor}, which this box has held: bring back a newer source"
      ),
      Self::Configuration(err) => err.fmt(f),
      Self::Fork { version } => write!(
        f,
        "version {version} came with other content than the held one: was the store restored? See \
         the operators' page on outages"
      ),
      Self::Gap { base, held: Some(held) } => {
        write!(f, "the update starts from version {base}, the held one is {held}")
      }
      Self::Gap { base, held: None } => {
        write!(f, "the update starts from version {base}, and no version is held")
      }
      Self::Corrupt { reason } => write!(f, "the update cannot be unpacked: {reason}"),
      Self::Unreadable(unreadable) => unreadable.fmt(f),
      Self::UnreadableEntry(entry) => entry.fmt(f),
    }
  }
}

impl StdError for Error {}

impl From<configuration::Error> for Error {
  fn from(err: configuration::Error) -> Self {
    Self::Configuration(err)
  }
}
