use super::*;

text::name! {
  /// A box: one machine that carries a backend server and the daemon beside it.
  BoxId, "box"
}
