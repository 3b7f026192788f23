use super::*;

text::number! {
  /// Names one open link of this daemon.
  LinkId, "link id"
}
