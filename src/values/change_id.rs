use super::*;

text::name! {
  /// The id of an operator's change, the same in every retry.
  ChangeId, "change id", text::is_encoded_name
}
