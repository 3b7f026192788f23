use super::*;

/// One step of a change.
// Most steps put something, and lists of them are short.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
  /// Removes an object that is there.
  Delete(ObjectName),
  /// Creates an object, or replaces the one of the same name.
  Put(Object),
}

impl Operation {
  /// The object that the step touches.
  pub fn target(&self) -> ObjectName {
    match self {
      Self::Delete(name) => name.clone(),
      Self::Put(object) => object.name(),
    }
  }
}
