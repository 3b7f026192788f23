use super::*;

/// One try at a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Attempt {
  /// The box tried.
  pub box_id: BoxId,
  /// How it ended.
  pub outcome: AttemptOutcome,
  /// Microseconds to the head of the answer, or to the failure.
  pub took_us: u64,
  /// Why each candidate was or was not chosen.
  pub verdicts: Vec<(BoxId, Verdict)>,
}
