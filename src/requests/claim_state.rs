use super::*;

/// How far a claimed request is.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
  /// It ran, and this was the answer.
  Done {
    /// The answer's body, where it was small text.
    body: Option<String>,
    /// The answer's content type.
    content_type: Option<String>,
    /// The answer's status.
    status: u16,
  },
  /// It truly did not run, and the next one may.
  Released,
  /// It was given to a backend server, or is about to be.
  Running,
  /// It may have run; nobody will know, and it never runs again.
  Unknown {
    /// Why.
    reason: String,
  },
}
