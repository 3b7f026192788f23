use super::*;

text::given_name! {
  /// The name of a data hall: the zone of a box.
  DataHall, "data hall"
}
