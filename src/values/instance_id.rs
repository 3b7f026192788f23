use super::*;

text::name! {
  /// The id of one process of a backend server. A restart takes another one.
  InstanceId, "instance"
}
