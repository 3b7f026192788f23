use super::*;

text::number! {
  /// How often the store has come back from a copy, and lost what it had acknowledged since the copy was made.
  Era, "era"
}
