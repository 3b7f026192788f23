use super::*;

/// Why a script is not understood or not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// An object that should be new is there.
  AlreadyThere {
    /// The object.
    object: ObjectName,
  },
  /// A document cannot be read.
  Document {
    /// Why.
    reason: String,
  },
  /// A field was not given.
  FieldMissing {
    /// The field.
    field: &'static str,
    /// The object.
    object: ObjectName,
  },
  /// The bearer's role does not allow it.
  Forbidden {
    /// What is not allowed.
    what: String,
  },
  /// Changes and questions, or several questions, in one script.
  Mixed,
  /// Another team owns the object.
  NotOwned {
    /// The object.
    object: ObjectName,
    /// The team that owns it.
    owner: Team,
    /// The operator's team.
    team: Team,
  },
  /// The script is too long.
  TooLong,
  /// A word that does not fit.
  Unexpected {
    /// Characters before the word, counted from 1.
    column: usize,
    /// What fits.
    expected: String,
    /// The word found.
    found: String,
    /// The nearest word that fits.
    nearest: Option<String>,
  },
  /// A name that nothing has.
  UnknownName {
    /// The name, with what it should name.
    name: String,
    /// The nearest name that something has.
    nearest: Option<String>,
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::AlreadyThere { object } => {
        write!(f, "{object} exists already: use `set` to change it")
      }
      Self::Document { reason } => write!(f, "the document cannot be read: {reason}"),
      Self::FieldMissing { field, object } => write!(f, "{object} needs `{field}`: give it"),
      Self::Forbidden { what } => {
        write!(f, "your role does not allow to {what}: ask an administrator")
      }
      Self::Mixed => write!(f, "one script holds either changes or one question: split it"),
      Self::NotOwned { object, owner, team } => write!(
        f,
        "{object} belongs to team {owner}, and you are of team {team}: ask them, or an administrator"
      ),
      Self::TooLong => write!(
        f,
        "a script holds at most {STATEMENTS_MAX} statements and {SCRIPT_BYTES_MAX} bytes: split it"
      ),
      Self::Unexpected { column, expected, found, nearest } => {
        write!(f, "column {column}: found {found}, expected {expected}")?;
        suggest(f, nearest.as_deref())
      }
      Self::UnknownName { name, nearest } => {
        write!(f, "there is no {name}")?;
        suggest(f, nearest.as_deref())
      }
    }
  }
}

fn suggest(f: &mut Formatter, nearest: Option<&str>) -> fmt::Result {
  match nearest {
    Some(nearest) => write!(f, "; did you mean `{nearest}`?"),
    None => Ok(()),
  }
}

impl StdError for Error {}
