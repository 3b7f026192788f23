use super::*;

/// Asks a neighbour for configuration and news.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Subscribe {
  /// When the asker applied its version, in milliseconds since 1970.
  #[serde(rename = "a")]
  pub applied_unix_ms: u64,
  /// Whether the asker found no relay, so that any daemon with a configuration should serve it.
  #[serde(rename = "d")]
  pub desperate: bool,
  /// The asker's own endpoint.
  #[serde(rename = "e")]
  pub endpoint: Endpoint,
  /// The fingerprint of the asker's endpoint table.
  #[serde(rename = "f")]
  pub endpoints: u32,
  /// Whether the asker is a relay itself.
  #[serde(rename = "r")]
  pub relay: bool,
  /// What the asker holds.
  #[serde(rename = "v")]
  pub version: Option<(Version, u32)>,
}
