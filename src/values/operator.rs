use super::*;

text::name! {
  /// The name of a person or program that changes the configuration.
  Operator, "operator"
}
