use super::*;

text::number! {
  /// Identifies one try at one box, unique in the fleet: a random number, so that no coordination is needed.
  TryKey, "key of a try"
}
