use super::*;

text::name! {
  /// A data hall: the zone that a box stands in.
  DataHall, "data hall"
}
