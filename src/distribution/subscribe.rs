use super::*;

/// Asks a neighbour for configuration and endpoint updates.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Subscribe {
  /// When the subscriber applied its version, in milliseconds since 1970.
  #[serde(rename = "a")]
  pub applied_unix_ms: u64,
  /// Whether the subscriber found no relay and any daemon with a configuration should serve it.
  #[serde(rename = "d")]
  pub accepts_any_daemon: bool,
  /// The subscriber's own endpoint.
  #[serde(rename = "e")]
  pub endpoint: Endpoint,
  /// The fingerprint of the subscriber's endpoint table.
  #[serde(rename = "f")]
  pub endpoints_fingerprint: u32,
  /// Whether the subscriber is a relay.
  #[serde(rename = "r")]
  pub relay: bool,
  /// The version that the subscriber holds, with the prefix of its digest.
  #[serde(rename = "v")]
  pub version: Option<(Version, u32)>,
}
