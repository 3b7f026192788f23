use super::*;

/// Sends matching requests to a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
  /// How requests are handled.
  #[serde(default, skip_serializing_if = "Handling::is_default")]
  pub handling: Handling,
  /// Headers that a request must have, by lower-case name.
  #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
  pub headers: BTreeMap<String, String>,
  /// The host that a request must be for; any host where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub host: Option<String>,
  /// The method that a request must use; any method where absent.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub method: Option<String>,
  /// The team that may change the route.
  pub owner: Team,
  /// The path prefix that a request must match at a segment boundary. Starts with `/`.
  pub path_prefix: String,
  /// Whether a request may run more than once. Where false, requests carry a key and run at most
  /// once.
  pub repeatable: bool,
  /// The service that receives the requests. Always a service of the same configuration.
  pub service: ServiceName,
}

impl Route {
  /// Whether `path` has the route's prefix and the prefix ends at a segment boundary.
  pub fn matches_path(&self, path: &str) -> bool {
    is_path_under(path, &self.path_prefix)
  }

  /// All services that the route may send requests to.
  pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
    let shares = self.handling.split.iter().map(|share| &share.service);
    std::iter::once(&self.service).chain(shares)
  }

  /// The conditions on a request, for finding two routes with equal ones.
  pub(super) fn match_conditions(
    &self,
  ) -> (Option<&str>, &str, Option<&str>, &BTreeMap<String, String>) {
    (self.host.as_deref(), &self.path_prefix, self.method.as_deref(), &self.headers)
  }

  /// Sort key by which more specific routes are greater: host, path length, method, headers.
  pub fn specificity(&self) -> (bool, usize, bool, usize) {
    (self.host.is_some(), self.path_prefix.len(), self.method.is_some(), self.headers.len())
  }
}

/// Returns whether `path` has the prefix, and the prefix ends at a segment boundary.
pub(super) fn is_path_under(path: &str, prefix: &str) -> bool {
  let rest = path.strip_prefix(prefix);
  rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
