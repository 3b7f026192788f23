use super::*;

text::number! {
  /// Identifies an inquiry between two neighbours.
  InquiryId, "inquiry id"
}
