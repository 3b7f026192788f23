use super::*;

/// Where the roll-out of a service stands. It lies in the store, and goes from box to box.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
  /// The version in force when the order came; nothing where no backend server told one.
  #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
  pub base: Option<SoftwareVersion>,
  /// The box that decides.
  #[serde(rename = "x")]
  pub decider: BoxId,
  /// What was ordered.
  #[serde(rename = "o")]
  pub order: Order,
  /// The store's revision of the order, which tells orders of one service apart.
  #[serde(rename = "r")]
  pub ordered_at: Revision,
  /// When the order was heard of, in milliseconds since 1970, for boxes that start later.
  #[serde(rename = "u")]
  pub ordered_unix_ms: u64,
  /// How far it has come.
  #[serde(rename = "g")]
  pub stage: Stage,
  /// Grows with each change of the record of one order.
  #[serde(rename = "n")]
  pub step: u64,
}

impl Record {
  /// Whether this record replaces `other` of the same service.
  ///
  /// A later order wins. Within one order its end wins, for the store lets only one happen; then a halt, so that
  /// no step that was decided beside it sends requests to a version that somebody found bad; then the later step.
  pub fn is_newer_than(&self, other: &Self) -> bool {
    let rank = |record: &Self| {
      (record.ordered_at, record.stage.is_final(), record.stage.is_undone(), record.step)
    };
    rank(self) > rank(other)
  }

  /// The record that follows this one.
  #[must_use]
  pub fn next(&self, stage: Stage) -> Self {
    Self { stage, step: self.step + 1, ..self.clone() }
  }

  /// Whether an order that was heard of with a revision is the one that this record is about. A store that came
  /// back from a copy has it written again, with another revision.
  pub fn is_of(&self, order: &Order, revision: Revision) -> bool {
    self.ordered_at == revision || (self.ordered_at.era < revision.era && self.order == *order)
  }
}
