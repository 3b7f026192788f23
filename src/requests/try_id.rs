use super::*;

text::number! {
  /// Names one try of a request, in the order in which they start.
  TryId, "try"
}
