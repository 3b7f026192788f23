use super::*;

text::number! {
  /// Names one try at one box in the whole fleet: a random number, so that nobody has to be asked for it.
  TryKey, "key of a try"
}
