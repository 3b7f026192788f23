use super::*;

text::name! {
  /// The name of a team that owns objects of the configuration.
  Team, "team"
}
