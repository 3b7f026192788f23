use super::*;

/// The route that matches a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteMatch {
  /// How requests of the route are handled.
  pub handling: Handling,
  /// Whether the request may run more than once.
  pub repeatable: bool,
  /// The route's name.
  pub route: RouteName,
  /// The service that receives the request.
  pub service: ServiceName,
}
