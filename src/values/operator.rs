use super::*;

text::name! {
  /// A person or program that changes the configuration.
  Operator, "operator"
}
