use super::*;

/// A process of a backend server. It may have the id of an earlier process, but none of its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Process {
  /// When it started, or `None` if it didn't report that or only its id is known.
  pub born: Option<Born>,
  /// Its id.
  pub id: InstanceId,
}

impl Process {
  /// Whether both may be the same process. A process without a start time matches any with its id.
  pub fn may_be(&self, other: &Self) -> bool {
    self.id == other.id && (self.born.is_none() || other.born.is_none() || self.born == other.born)
  }

  /// Whether it is known to have started before `other`.
  pub fn is_before(&self, other: &Self) -> bool {
    self.born.zip(other.born).is_some_and(|(own, other)| own < other)
  }
}

impl Display for Process {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self.born {
      Some(born) => write!(f, "{} born {born}", self.id),
      None => self.id.fmt(f),
    }
  }
}
