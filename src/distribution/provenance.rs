use super::*;

/// How a version came to this box.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Provenance {
  /// When it was applied, in milliseconds since 1970 by this box's clock.
  pub applied_unix_ms: u64,
  /// The box that sent it; nothing where it came from the store.
  pub from: Option<BoxId>,
  /// The version.
  pub version: Version,
}
