use super::*;

/// The message that neighbours send each other periodically. It is kept small because it makes up
/// most of the control traffic of an idle fleet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
  /// When the sender applied its version, in milliseconds since 1970. Present in some
  /// heartbeats only.
  #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
  pub applied_unix_ms: Option<u64>,
  /// The fingerprint of the sender's endpoint table.
  #[serde(rename = "e")]
  pub endpoints_fingerprint: u32,
  /// The newest era of the store that the sender knows.
  #[serde(rename = "t", default, skip_serializing_if = "Heartbeat::is_first")]
  pub era: Era,
  /// Whether the sender holds a relay slot.
  #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
  pub is_relay: bool,
  /// The store's revision up to which the sender's version contains all changes, if the sender
  /// watches the store. A neighbour with the same version can continue watching from there.
  #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
  pub revision: Option<Revision>,
  /// Milliseconds since the store last confirmed the sender's version; `None` if it never did.
  #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
  pub store_age_ms: Option<u64>,
  /// The version that the sender holds, with the prefix of its digest.
  #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
  pub version: Option<(Version, u32)>,
}

impl Heartbeat {
  /// Whether the store was never restored; heartbeats omit this default.
  #[allow(clippy::trivially_copy_pass_by_ref)]
  fn is_first(era: &Era) -> bool {
    *era == Era::default()
  }
}
