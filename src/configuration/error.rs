use super::*;

/// Why a change is not accepted, or an update does not apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
  /// An object refers to another one that does not exist.
  BrokenReference {
    /// The object that holds the reference.
    object: ObjectName,
    /// The object that does not exist.
    target: ObjectName,
  },
  /// Another change modified the same object since the base version.
  Conflict {
    /// The other change, if the history still contains it.
    by: Option<Box<ChangeSummary>>,
    /// The object that both changes touch.
    object: ObjectName,
  },
  /// The result does not match the digest that the update carries.
  DigestMismatch {
    /// The version of the result.
    version: Version,
  },
  /// Two routes match the same requests, so one of them would never be used.
  DuplicateRoute {
    /// One route.
    first: RouteName,
    /// The other route.
    second: RouteName,
  },
  /// The change has no operations.
  NoOperations,
  /// A value is out of its limits.
  OutOfRange {
    /// The allowed values.
    allowed: &'static str,
    /// The field.
    field: &'static str,
    /// The object that has the field.
    object: ObjectName,
  },
  /// The configuration does not fit the store.
  TooLarge {
    /// Its encoded size in bytes.
    bytes: usize,
  },
  /// The object to delete does not exist.
  UnknownObject {
    /// The object.
    object: ObjectName,
  },
  /// The newest version is not the one that the change requires.
  VersionMoved {
    /// The required version.
    demanded: Version,
    /// The newest version.
    newest: Version,
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Conflict { by: Some(by), object } => write!(
        f,
        "{object} was changed by {} of {} in version {}: look at it and state your change again",
        by.operator, by.team, by.version
      ),
      Self::Conflict { by: None, object } => write!(
        f,
        "{object} was changed since your base version: look at it and state your change again"
      ),
      Self::DigestMismatch { version } => {
        write!(f, "the update to version {version} does not give the digest that it promises")
      }
      Self::NoOperations => write!(f, "the change has no steps: state at least one"),
      Self::OutOfRange { allowed, field, object } => {
        write!(f, "{field} of {object} is out of its limits: give {allowed}")
      }
      Self::UnknownObject { object } => write!(f, "there is no {object}: create it first"),
      Self::BrokenReference { object, target } => write!(
        f,
        "{object} names {target}, which does not exist: create {target} in the same change, or \
         keep it while {object} names it"
      ),
      Self::DuplicateRoute { first, second } => write!(
        f,
        "route {first} and route {second} match the same requests: change or delete one of them"
      ),
      Self::TooLarge { bytes } => write!(
        f,
        "the configuration would take {bytes} bytes and the store holds {ENCODED_BYTES_MAX}: \
         delete objects that nothing uses"
      ),
      Self::VersionMoved { demanded, newest } => write!(
        f,
        "the newest version is {newest}, not {demanded}: look at the difference and state your \
         change again"
      ),
    }
  }
}

impl StdError for Error {}
