use super::*;

/// Why a backend server was or was not chosen for a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
  /// It was the better of the two compared.
  Chosen,
  /// An operator drains it, or it drains by itself.
  Draining,
  /// It failed several times in a row and rests.
  Ejected,
  /// It is leaving or lost.
  Gone,
  /// The other of the two compared was better.
  Loaded,
  /// It was not among the two compared.
  NotCompared,
  /// It was tried for this request already.
  Tried,
}

impl Display for Verdict {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.pad(match self {
      Self::Chosen => "chosen",
      Self::Draining => "draining",
      Self::Ejected => "ejected after failures",
      Self::Gone => "leaving or lost",
      Self::Loaded => "more loaded than the chosen one",
      Self::NotCompared => "not among the two compared",
      Self::Tried => "tried already",
    })
  }
}
