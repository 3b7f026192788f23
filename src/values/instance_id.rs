use super::*;

text::name! {
  /// One start of a backend server's process.
  InstanceId, "instance"
}
