use super::*;

/// A daemon's finding about requests that ran on its backend server. It spreads through the fleet with the status of
/// its box, and each daemon applies it once.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RunFinding {
  /// A random id. A restarted box keeps its findings under their ids.
  #[serde(rename = "n")]
  pub id: u64,
  /// The requests and how they ended.
  #[serde(rename = "w")]
  pub outcome: RunOutcome,
}

/// How requests on a backend server ended.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RunOutcome {
  /// The process crashed while it ran these requests. If it ran none, the crash had another cause.
  #[serde(rename = "c")]
  Crashed(Vec<Fingerprint>),
  /// These requests completed, although processes had crashed while running them before.
  #[serde(rename = "s")]
  Survived(Vec<Fingerprint>),
}
