use super::*;

text::given_name! {
  /// The name of an organisation, whose callers authenticate with a key.
  OrganisationName, "organisation"
}
