use super::*;

/// The outcome of a claim step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
  /// The claim is held, so the request may run. Its result is recorded by a compare-and-swap on
  /// this revision.
  Held(Revision),
  /// The key was used before with other content.
  Mismatch,
  /// The request does not run, for the store could not be reached.
  NotRun {
    /// Why.
    reason: String,
  },
  /// The result is recorded, or does not have to be.
  Recorded,
  /// The key was used before; this is the state of that request.
  Repeated(ClaimState),
  /// The result could not be recorded, so a repeated request gets the outcome "unknown".
  Unrecorded {
    /// Why.
    reason: String,
  },
}
