use super::*;

/// The faults that the stand-in store shows on command.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools)]
pub struct StoreFaults {
  /// Refuse every connection's call with a status that says nothing.
  pub down: bool,
  /// Milliseconds by which every reply is late.
  pub slow_ms: u64,
  /// Carry out this many of the next writes and lose their answers.
  pub lose_answers: u32,
  /// Let watches wait without ever reporting a change.
  pub silent_watches: bool,
  /// Report every change of a watch twice.
  pub repeated_watches: bool,
  /// Leave out the changes of this many of the next watches that have some.
  pub skipped_watches: u32,
  /// End all leases now.
  pub lapse_leases: bool,
}
