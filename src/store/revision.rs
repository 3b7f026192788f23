use super::*;

text::number! {
  /// The store's own count of writes. Every write takes the next one.
  Revision, "revision"
}
