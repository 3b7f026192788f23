use super::*;

/// What a claim came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settlement {
  /// The claim is held: run the request. The result is recorded at this revision.
  Held(Revision),
  /// The key came before with other content.
  Mismatch,
  /// The request does not run: the store could not be asked.
  NotRun {
    /// Why.
    reason: String,
  },
  /// The result is recorded, or need not be.
  Recorded,
  /// The key came before, and this is what became of it.
  Repeated(ClaimState),
  /// The result could not be recorded: a repetition will hear "unknown".
  Unrecorded {
    /// Why.
    reason: String,
  },
}
