use super::*;

text::number! {
  /// Identifies a lease of the store.
  LeaseId, "lease id"
}
