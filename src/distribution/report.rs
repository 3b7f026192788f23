use super::*;

/// A piece of the answer to an inquiry.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
  /// The version that a box applies.
  Applied {
    /// The box.
    box_id: BoxId,
    /// Why the box last refused an update.
    refusal: Option<String>,
    /// When the version was applied, in milliseconds since 1970 by the box's clock.
    unix_ms: u64,
    /// The version; `None` if the box holds none.
    version: Option<Version>,
  },
  /// The highest version that the asked box knows another box, or itself, to have held.
  Floor {
    /// The version.
    version: Version,
  },
  /// The version that a box holds, and its source.
  Held {
    /// The box.
    box_id: BoxId,
    /// The sources of the last versions, oldest first.
    provenance: Vec<Provenance>,
    /// The last refusals, oldest first, each with its time in milliseconds since 1970.
    refusals: Vec<(u64, String)>,
    /// Milliseconds since the store last confirmed the version.
    store_age_ms: Option<u64>,
    /// The version held.
    version: Option<Version>,
  },
  /// A box's record of a request.
  Request(Box<RequestRecord>),
}
