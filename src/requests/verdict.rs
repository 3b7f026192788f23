use super::*;

/// Why a backend server was chosen for a try or not.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
  /// It was the best of the compared ones.
  Chosen,
  /// It is draining, on its own or by an operator's request.
  Draining,
  /// Operators evacuate its data hall.
  Evacuated,
  /// It failed several times in a row and is ejected for a while.
  Ejected,
  /// It is stopping or lost.
  Gone,
  /// The request is on trial on another box, for it may crash the process that runs it.
  HeldBack,
  /// Another of the compared ones was expected to do better.
  Loaded,
  /// It was not among the sampled candidates.
  NotCompared,
  /// The request may not be served in its region.
  OtherRegion,
  /// Its version is not in force, or serves other requests.
  OtherVersion,
  /// It was already tried for this request.
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
