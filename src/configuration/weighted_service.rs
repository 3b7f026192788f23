use super::*;

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
  /// The service. Always a service of the same configuration.
  pub service: ServiceName,
  /// The share, relative to the sum of the route's weights.
  pub weight: u32,
}
