use super::*;

/// One attempt to send a request to a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Attempt {
  /// The box it was sent to.
  pub box_id: BoxId,
  /// How it ended.
  pub outcome: AttemptOutcome,
  /// Microseconds until the answer's head came or the attempt failed.
  pub took_us: u64,
  /// Why each candidate was chosen or not.
  pub verdicts: Vec<(BoxId, Verdict)>,
}
