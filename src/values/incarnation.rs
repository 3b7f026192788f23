use super::*;

text::number! {
  /// Orders the lives of one box: a restarted daemon takes a higher one.
  Incarnation, "incarnation"
}
