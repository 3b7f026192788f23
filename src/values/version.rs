use super::*;

text::number! {
  /// A version of the whole configuration. Versions only increase.
  Version, "version"
}
