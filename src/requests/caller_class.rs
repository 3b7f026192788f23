use super::*;

text::name! {
  /// A class of callers, for fairness and histograms.
  CallerClass, "caller class"
}

impl CallerClass {
  /// The header by which a caller names its class.
  pub const HEADER: &'static str = "x-ferryyoke-caller-class";

  /// The class of callers that name none.
  pub fn unnamed() -> Self {
    "unnamed".parse().expect("a name")
  }
}
