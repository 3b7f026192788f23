use super::*;

text::number! {
  /// Identifies a try of a request, numbered in start order.
  TryId, "try"
}
