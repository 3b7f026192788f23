use super::*;

text::name! {
  /// A class of callers, by which slots are shared fairly and latencies are reported.
  CallerClass, "caller class", text::is_encoded_name
}

impl CallerClass {
  /// The header in which a caller names its class.
  pub const HEADER: &'static str = "x-ferryyoke-caller-class";

  /// Returns the class of an organisation's callers.
  pub fn of(organisation: &OrganisationName) -> Self {
    organisation.short().parse().expect("a shortened name is a valid class name")
  }

  /// Returns the class of callers that name none.
  pub fn unnamed() -> Self {
    "unnamed".parse().expect("a valid class name")
  }
}
