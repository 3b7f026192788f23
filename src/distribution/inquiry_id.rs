use super::*;

text::number! {
  /// Names one inquiry between two neighbours.
  InquiryId, "inquiry id"
}
