use super::*;

text::number! {
  /// Orders the runs of one box's daemon: each restart takes a higher number.
  Incarnation, "incarnation"
}
