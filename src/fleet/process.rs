use super::*;

/// A process of a backend server. It may have the id of an earlier process, but none of its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Process {
  /// Its id.
  pub id: InstanceId,
  /// When it started, or `None` if it didn't report that or only its id is known.
  pub started_at: Option<StartTime>,
}

impl Process {
  /// Whether both may be the same process. A process without a start time matches any with its id.
  pub fn may_be_same(&self, other: &Self) -> bool {
    self.id == other.id
      && (self.started_at.is_none()
        || other.started_at.is_none()
        || self.started_at == other.started_at)
  }

  /// Whether it is known to have started before `other`.
  pub fn started_before(&self, other: &Self) -> bool {
    self.started_at.zip(other.started_at).is_some_and(|(own, other)| own < other)
  }
}

impl Display for Process {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self.started_at {
      Some(started_at) => write!(f, "{} born {started_at}", self.id),
      None => self.id.fmt(f),
    }
  }
}
