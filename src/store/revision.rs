use super::*;

/// A point in the history of the store: its write counter, which each write increments.
///
/// When the store is restored from a backup, it loses some writes and reuses their counts. So
/// counts of different eras can't be compared, and any revision of a later era is later.
#[derive(
  Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(from = "RevisionForm", into = "RevisionForm")]
pub struct Revision {
  /// The number of restores from a backup so far. Compared first.
  pub era: Era,
  /// The number of writes, including those before the backup that this era started from.
  pub count: u64,
}

/// The serialized form of a revision. Revisions of era 0, the usual case, are a single number,
/// which keeps heartbeats short.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum RevisionForm {
  FirstEra(u64),
  InEra(Era, u64),
}

impl Revision {
  /// Returns the revision of the next write.
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
  /// Creates a revision of era 0.
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
