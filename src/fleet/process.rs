use super::*;

/// One process of a backend server. It may bear the id of one before it, and knows nothing of that one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Process {
  /// When it started; nothing where it does not say, or only its id is known so far.
  pub born: Option<Born>,
  /// The id that it bears.
  pub id: InstanceId,
}

impl Process {
  /// Whether both may be one process. One of which only the id is known may be any that bears the id.
  pub fn may_be(&self, other: &Self) -> bool {
    self.id == other.id && (self.born.is_none() || other.born.is_none() || self.born == other.born)
  }

  /// Whether it certainly started before another one.
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
