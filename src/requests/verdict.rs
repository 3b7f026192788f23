use super::*;

/// Why a backend server was or was not chosen for a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
  /// It was the best of those compared.
  Chosen,
  /// An operator drains it, or it drains by itself.
  Draining,
  /// The operators evacuate its data hall.
  Evacuated,
  /// It failed several times in a row and rests.
  Ejected,
  /// It is leaving or lost.
  Gone,
  /// The request may be tried at another one only: it may end the process that runs it.
  HeldBack,
  /// Another of those compared was expected to do better.
  Loaded,
  /// It was not among those compared.
  NotCompared,
  /// Its region is none of those in which the request may be served.
  OtherRegion,
  /// Its version is not in force, or gets other requests.
  OtherVersion,
  /// It was tried for this request already.
  Tried,
}

impl Verdict {
  /// Whether the backend server could have been chosen.
  pub fn is_usable(self) -> bool {
    matches!(self, Self::Chosen | Self::Loaded | Self::NotCompared)
  }
}

impl Display for Verdict {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.pad(match self {
      Self::Chosen => "chosen",
      Self::Draining => "draining",
      Self::Ejected => "ejected after failures",
      Self::Evacuated => "in a data hall that is evacuated",
      Self::Gone => "leaving or lost",
      Self::HeldBack => "not where the request is tried",
      Self::Loaded => "expected to do worse than the chosen one",
      Self::NotCompared => "not among those compared",
      Self::OtherRegion => "in a region where the request may not be served",
      Self::OtherVersion => "of a version that gets other requests",
      Self::Tried => "tried already",
    })
  }
}
