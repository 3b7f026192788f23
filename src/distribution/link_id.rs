use super::*;

text::number! {
  /// Identifies an open link of this daemon.
  LinkId, "link id"
}
