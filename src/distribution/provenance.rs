use super::*;

/// The source of a version that this box applied.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Provenance {
  /// When it was applied, in milliseconds since 1970 by this box's clock.
  pub applied_unix_ms: u64,
  /// The box that sent it; `None` if it was read from the store.
  pub from: Option<BoxId>,
  /// The version.
  pub version: Version,
}
