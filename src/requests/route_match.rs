use super::*;

/// The route that a request takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteMatch {
  /// How its requests are carried.
  pub handling: Handling,
  /// Whether the request may run more than once.
  pub repeatable: bool,
  /// The route.
  pub route: RouteName,
  /// The service that receives the request.
  pub service: ServiceName,
}
