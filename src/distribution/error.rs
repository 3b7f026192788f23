use super::*;

/// Why an update is not applied. The held version stays.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// It does not lead past the held version.
  Backwards {
    /// The version held.
    held: Version,
    /// The version offered.
    offered: Version,
  },
  /// A fresh daemon does not know yet how far its box has been.
  BelowFloor {
    /// The lowest version that the box may take.
    floor: Version,
    /// The version offered.
    offered: Version,
  },
  /// The content is not sound.
  Configuration(configuration::Error),
  /// The version is held with other content.
  Fork {
    /// The version.
    version: Version,
  },
  /// It cannot be unpacked.
  Garbled {
    /// What is wrong with it.
    reason: String,
  },
  /// It starts from a version or content that is not held.
  Gap {
    /// The version that it starts from.
    base: Version,
    /// The version held.
    held: Option<Version>,
  },
  /// A source holds something that is not a configuration.
  Unreadable(ParseError),
  /// The directory holds something that is no entry of a box.
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
      Self::Garbled { reason } => write!(f, "the update cannot be unpacked: {reason}"),
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
