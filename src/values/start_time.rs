use super::*;

text::number! {
  /// When a backend server's process started, in milliseconds since 1970, as it reports. Orders the
  /// processes of one backend server.
  StartTime, "moment of a start"
}
