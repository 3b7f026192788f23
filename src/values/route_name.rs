use super::*;

text::given_name! {
  /// The name of a route.
  RouteName, "route"
}
