use super::*;

text::number! {
  /// A version of the whole configuration. Versions only grow.
  Version, "version"
}
