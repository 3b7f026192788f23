use super::*;

/// The error of a script that is invalid or not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// The object to create exists already.
  AlreadyExists {
    /// The object.
    object: ObjectName,
  },
  /// The JSON document is invalid.
  Document {
    /// The parser's error.
    reason: String,
  },
  /// A required field is missing.
  FieldMissing {
    /// The field.
    field: &'static str,
    /// The object.
    object: ObjectName,
  },
  /// The operator's role does not allow the action.
  Forbidden {
    /// The action.
    what: String,
  },
  /// The script mixes changes with other statements, or has several of those.
  MixedStatements,
  /// The object belongs to another team.
  NotOwned {
    /// The object.
    object: ObjectName,
    /// The team that owns it.
    owner: Team,
    /// The operator's team.
    team: Team,
  },
  /// The script exceeds `SCRIPT_BYTES_MAX` or `STATEMENTS_MAX`.
  TooLong,
  /// A word does not match the grammar.
  Unexpected {
    /// The position of the word's first character, counted from 1.
    column: usize,
    /// What the grammar allows there.
    expected: String,
    /// The word found.
    found: String,
    /// The most similar keyword that is allowed there.
    nearest: Option<String>,
  },
  /// No object or box has the name.
  UnknownName {
    /// The kind and the name.
    name: String,
    /// The most similar known name.
    nearest: Option<String>,
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::AlreadyExists { object } => {
        write!(f, "{object} exists already: use `set` to change it")
      }
      Self::Document { reason } => write!(f, "the document cannot be read: {reason}"),
      Self::FieldMissing { field, object } => write!(f, "{object} needs `{field}`: give it"),
      Self::Forbidden { what } => {
        write!(f, "your role does not allow to {what}: ask an administrator")
      }
      Self::MixedStatements => {
        write!(f, "one script holds either changes or one question: split it")
      }
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
