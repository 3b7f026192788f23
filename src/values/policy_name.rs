use super::*;

text::name! {
  /// The name of a backend server policy.
  PolicyName, "policy"
}
