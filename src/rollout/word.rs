use super::*;

/// What boxes tell each other of a roll-out.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Word {
  /// Milliseconds since the order.
  #[serde(rename = "a")]
  pub age_ms: u64,
  /// Grows with each word of the decider about one record, so that its silence is noticed.
  #[serde(rename = "b")]
  pub beat: u64,
  /// Where it stands.
  #[serde(rename = "r")]
  pub record: Record,
}
