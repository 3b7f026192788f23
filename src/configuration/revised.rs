use super::*;

/// An object with the version that last changed it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Revised<T> {
  /// The version that last changed the object. Never above the configuration's version.
  pub revision: Version,
  /// The object.
  pub value: T,
}
