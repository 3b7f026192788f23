use super::*;

text::number! {
  /// The number of times the store was restored from a backup. Each restore loses the writes that
  /// the store acknowledged after the backup.
  Era, "era"
}
