use super::*;

/// The faults that the fake store can inject.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools)]
pub struct StoreFaults {
  /// Answer every call with an internal server error and don't execute it. To the client its
  /// outcome is unknown.
  pub down: bool,
  /// Milliseconds by which every reply is delayed.
  pub slow_ms: u64,
  /// Execute this many of the next writes, but answer them with an error.
  pub lose_answers: u32,
  /// Never answer watches.
  pub silent_watches: bool,
  /// Report every change of a watch twice.
  pub repeated_watches: bool,
  /// Omit the changes from this many of the next watches that have some.
  pub skipped_watches: u32,
  /// End all leases now.
  pub lapse_leases: bool,
}
