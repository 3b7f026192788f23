use super::*;

/// An organisation. Callers prove with one of its keys that they belong to it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
  /// Digests of its keys.
  pub keys: BTreeSet<KeyDigest>,
  /// The team that may change the organisation.
  pub owner: Team,
  /// Priority of its requests, 0 first, which replaces that of the route.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub priority: Option<u32>,
  /// Limit on its requests over all daemons together; unlimited where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub rate_limit: Option<RateLimit>,
  /// The regions in which its requests may be served; any where empty.
  #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
  pub regions: BTreeSet<Region>,
}
