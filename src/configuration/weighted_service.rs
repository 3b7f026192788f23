use super::*;

/// A service's share of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
  /// The service. Always a service of the same configuration.
  pub service: ServiceName,
  /// The share, relative to the other weights of the route.
  pub weight: u32,
}
