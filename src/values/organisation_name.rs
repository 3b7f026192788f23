use super::*;

text::name! {
  /// The name of an organisation, whose callers authenticate with a key.
  OrganisationName, "organisation"
}
