use super::*;

text::given_name! {
  /// The id of one process of a backend server. A restart takes another one.
  InstanceId, "instance"
}
