use super::*;

text::name! {
  /// A class of callers, for fairness and histograms.
  CallerClass, "caller class"
}

impl CallerClass {
  /// The header by which a caller names its class.
  pub const HEADER: &'static str = "x-ferryyoke-caller-class";

  /// The class of an organisation's callers.
  pub fn of(organisation: &OrganisationName) -> Self {
    organisation.as_str().parse().expect("names have one form")
  }

  /// The class of callers that name none.
  pub fn unnamed() -> Self {
    "unnamed".parse().expect("a name")
  }
}
