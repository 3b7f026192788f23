use super::*;

text::name! {
  /// The name of a route.
  RouteName, "route"
}
