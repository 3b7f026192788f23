use super::*;

text::name! {
  /// The name of an organisation whose callers prove with a key who they are.
  OrganisationName, "organisation"
}
