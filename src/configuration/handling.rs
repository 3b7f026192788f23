use super::*;

/// How requests of one route are handled. The default leaves everything to the service's policy.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Handling {
  /// Largest number of backend servers that one request is sent to. The policy's where absent.
  #[serde(skip_serializing_if = "Option::is_none")]
  pub attempts: Option<u32>,
  /// Priority among the routes of a service; 0 is served first.
  #[serde(skip_serializing_if = "is_zero")]
  pub priority: u32,
  /// Whether callers need no organisation's key.
  #[serde(skip_serializing_if = "std::ops::Not::not")]
  pub public: bool,
  /// The regions in which requests may be served; any where empty.
  #[serde(skip_serializing_if = "BTreeSet::is_empty")]
  pub regions: BTreeSet<Region>,
  /// Whether a repeatable request that a backend server answers with 500 is retried on another one.
  #[serde(skip_serializing_if = "std::ops::Not::not")]
  pub retry_failures: bool,
  /// Whether a request that is not repeatable is protected from running twice by sending it to only
  /// one backend server, instead of by a claim in the store.
  #[serde(skip_serializing_if = "std::ops::Not::not")]
  pub sent_once: bool,
  /// Services among which requests are split by weight. Only the route's service where empty.
  #[serde(skip_serializing_if = "Vec::is_empty")]
  pub split: Vec<WeightedService>,
  /// Milliseconds within which callers expect an answer.
  #[serde(skip_serializing_if = "Option::is_none")]
  pub target_ms: Option<u64>,
  /// Milliseconds that a request may take. The policy's where absent.
  #[serde(skip_serializing_if = "Option::is_none")]
  pub timeout_ms: Option<u64>,
}

impl Handling {
  pub(super) fn is_default(&self) -> bool {
    *self == Self::default()
  }
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
  *number == 0
}
