use super::*;

/// How requests of one route are carried. The default leaves all of it to the service's policy.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Handling {
  /// Backend servers to which one request may be sent. The policy decides where absent.
  #[serde(skip_serializing_if = "Option::is_none")]
  pub attempts: Option<u32>,
  /// Rank among the routes of a service, 0 first.
  #[serde(skip_serializing_if = "is_zero")]
  pub priority: u32,
  /// Whether callers need no key of an organisation.
  #[serde(skip_serializing_if = "std::ops::Not::not")]
  pub public: bool,
  /// The regions in which requests may be served; any where empty.
  #[serde(skip_serializing_if = "BTreeSet::is_empty")]
  pub regions: BTreeSet<Region>,
  /// Whether a backend server's answer of 500 to a request that may run again is asked for elsewhere.
  #[serde(skip_serializing_if = "std::ops::Not::not")]
  pub retry_failures: bool,
  /// Whether a request that is not repeatable is kept from running twice by being sent to one
  /// backend server only, rather than by a claim in the store.
  #[serde(skip_serializing_if = "std::ops::Not::not")]
  pub sent_once: bool,
  /// Services that share the requests by weight. The route's service alone where empty.
  #[serde(skip_serializing_if = "Vec::is_empty")]
  pub split: Vec<WeightedService>,
  /// Milliseconds within which callers expect an answer.
  #[serde(skip_serializing_if = "Option::is_none")]
  pub target_ms: Option<u64>,
  /// Milliseconds for which a request may be held. The policy decides where absent.
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
