use super::*;

text::given_name!(
  /// The version of the software that a backend server runs, as the server reports it.
  SoftwareVersion, "software version"
);
