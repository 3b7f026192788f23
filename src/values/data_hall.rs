use super::*;

text::name! {
  /// The name of a data hall: the zone of a box.
  DataHall, "data hall"
}
