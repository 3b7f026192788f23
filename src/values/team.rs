use super::*;

text::name! {
  /// A team that owns objects of the configuration.
  Team, "team"
}
