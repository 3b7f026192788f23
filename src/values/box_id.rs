use super::*;

text::given_name! {
  /// The id of a box: one machine that runs a backend server and the daemon beside it.
  BoxId, "box"
}
