use super::*;

/// One operation of a change.
// Boxing would not save much: most operations put an object, and lists of them are short.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
  /// Removes an existing object.
  Delete(ObjectName),
  /// Creates an object, or replaces the one of the same name.
  Put(Object),
}

impl Operation {
  /// The name of the object that is put or deleted.
  pub fn target(&self) -> ObjectName {
    match self {
      Self::Delete(name) => name.clone(),
      Self::Put(object) => object.name(),
    }
  }
}
