use super::*;

/// A point in the history of the store: its own count of writes, of which every write takes the next one.
///
/// The store may come back from a copy. Then it has forgotten some writes and gives their counts out again, so
/// counts of two eras say nothing about each other: whatever is of a later era is later.
#[derive(
  Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(from = "RevisionForm", into = "RevisionForm")]
pub struct Revision {
  /// How often the store had come back from a copy. Compared first.
  pub era: Era,
  /// Writes in the history that this era goes on from.
  pub count: u64,
}

/// A revision as daemons tell it to each other. Most stores never go back, and beats stay short.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum RevisionForm {
  FirstEra(u64),
  InEra(Era, u64),
}

impl Revision {
  /// The revision of the next write.
  #[must_use]
  pub fn next(self) -> Self {
    Self { count: self.count.saturating_add(1), ..self }
  }
}

impl Display for Revision {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self.era {
      Era(0) => self.count.fmt(f),
      era => write!(f, "{} of era {era}", self.count),
    }
  }
}

impl From<u64> for Revision {
  /// A count of a store that never went back.
  fn from(count: u64) -> Self {
    Self { era: Era(0), count }
  }
}

impl From<RevisionForm> for Revision {
  fn from(form: RevisionForm) -> Self {
    match form {
      RevisionForm::FirstEra(count) => Self::from(count),
      RevisionForm::InEra(era, count) => Self { era, count },
    }
  }
}

impl From<Revision> for RevisionForm {
  fn from(revision: Revision) -> Self {
    match revision.era {
      Era(0) => Self::FirstEra(revision.count),
      era => Self::InEra(era, revision.count),
    }
  }
}
