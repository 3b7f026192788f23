use super::*;

text::number! {
  /// Names a lease of the store.
  LeaseId, "lease id"
}
