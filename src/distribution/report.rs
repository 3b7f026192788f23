use super::*;

/// A piece of the answer to an inquiry.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
  /// Which version a box applies.
  Applied {
    /// The box.
    box_id: BoxId,
    /// Why the box last refused an update.
    refusal: Option<String>,
    /// When the version was applied, in milliseconds since 1970 by the box's clock.
    unix_ms: u64,
    /// The version; nothing where the box holds none.
    version: Option<Version>,
  },
  /// How far the asked box knows another, or itself, to have been.
  Floor {
    /// The version.
    version: Version,
  },
  /// What one box holds.
  Held {
    /// The box.
    box_id: BoxId,
    /// How the last versions came, oldest first.
    provenance: Vec<Provenance>,
    /// What was refused, with when in milliseconds since 1970, oldest first.
    refusals: Vec<(u64, String)>,
    /// Milliseconds since the store last confirmed the version.
    store_age_ms: Option<u64>,
    /// The version held.
    version: Option<Version>,
  },
  /// What a box recorded about a request.
  Request(Box<RequestRecord>),
}
