use super::*;

text::name!(
  /// The version of the software that a backend server runs, as the server reports it.
  SoftwareVersion, "software version"
);
