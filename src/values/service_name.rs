use super::*;

text::given_name! {
  /// The name of a service.
  ServiceName, "service"
}
