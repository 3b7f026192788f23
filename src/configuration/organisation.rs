use super::*;

/// An organisation: callers that prove with one of its keys that they belong to it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
  /// The keys that prove it.
  pub keys: BTreeSet<KeyDigest>,
  /// The team that may change the organisation.
  pub owner: Team,
  /// The rank of its requests, 0 first, in place of their route's.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub priority: Option<u32>,
  /// What it may ask for, of all daemons together; any number of requests where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub rate_limit: Option<RateLimit>,
  /// The regions in which its requests may be served; any where empty.
  #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
  pub regions: BTreeSet<Region>,
}
