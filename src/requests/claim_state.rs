use super::*;

/// The state of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
  /// The request ran and was answered.
  Done {
    /// The answer's body, if it was a short text.
    body: Option<String>,
    /// The answer's content type.
    content_type: Option<String>,
    /// The answer's status.
    status: u16,
  },
  /// The request certainly did not run, and another attempt may take the claim.
  Released,
  /// The request was sent to a backend server, or is about to be.
  Running,
  /// The request may have run, which can no longer be determined, and never runs again.
  Unknown {
    /// Why the outcome is unknown.
    reason: String,
  },
}
