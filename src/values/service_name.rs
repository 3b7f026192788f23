use super::*;

text::name! {
  /// The name of a service.
  ServiceName, "service"
}
