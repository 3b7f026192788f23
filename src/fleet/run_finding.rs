use super::*;

/// What the daemon beside a backend server found out about requests that ran there. It goes through the fleet with
/// the news about its box, and is taken in once by each daemon.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RunFinding {
  /// A random number, which tells it apart from all others. A box that starts anew keeps its findings with it.
  #[serde(rename = "n")]
  pub id: u64,
  /// What was found.
  #[serde(rename = "w")]
  pub what: RunOutcome,
}

/// How requests ended at a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RunOutcome {
  /// The process ended without a word while it ran them.
  #[serde(rename = "c")]
  Crashed(Vec<Fingerprint>),
  /// They ran to their end, though processes had ended while they ran.
  #[serde(rename = "s")]
  Survived(Vec<Fingerprint>),
}
