use super::*;

text::name!(
  /// The version of the software that a backend server runs, as it names it.
  SoftwareVersion, "software version"
);
