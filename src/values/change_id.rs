use super::*;

text::name! {
  /// The id that an operator's change keeps through every retry.
  ChangeId, "change id"
}
